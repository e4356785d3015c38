/** Bounds on roll-outs from the platform's settings. */
import type { RollOutBounds } from '@limelead/run-roll-outs';

/** Bounds on the exposure of a bad version where the platform sets none. */
const DEFAULTS: RollOutBounds = { exposureShare: 0.1, exposureSlack: 50, rollBackMs: 5_000 };

/** Reads the bounds from settings and fills missing ones with defaults. */
export default function toRollOutBounds(
  settings: Readonly<Record<string, number | null | undefined>>,
): RollOutBounds {
  return {
    exposureShare: settings['exposureShare'] ?? DEFAULTS.exposureShare,
    exposureSlack: settings['exposureSlack'] ?? DEFAULTS.exposureSlack,
    rollBackMs: settings['rollBackMilliseconds'] ?? DEFAULTS.rollBackMs,
  };
}
