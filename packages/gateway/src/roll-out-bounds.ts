/** The bounds on roll-outs, where the platform gives some and where it gives none. */
import type { RollOutBounds } from '@limelead/run-roll-outs';

/** What a bad version may get at most where the platform bounds nothing. */
const DEFAULTS: RollOutBounds = { exposureShare: 0.1, exposureSlack: 50, rollBackMs: 5_000 };

/** Fills what settings leave out. */
export default function toRollOutBounds(
  settings: Readonly<Record<string, number | null | undefined>>,
): RollOutBounds {
  return {
    exposureShare: settings['exposureShare'] ?? DEFAULTS.exposureShare,
    exposureSlack: settings['exposureSlack'] ?? DEFAULTS.exposureSlack,
    rollBackMs: settings['rollBackMilliseconds'] ?? DEFAULTS.rollBackMs,
  };
}
