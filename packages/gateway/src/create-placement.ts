/** Connects the placement of requests to the settings, the log and the metrics. */
import { createRateLimitedLog } from '@limelead/decision-log';
import type { TargetPlacementOptions } from '@limelead/forward-request';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { FleetComponentContext } from './fleet-component.js';

/** Default bound on the request bodies of all VMs in progress at one target. */
const DEFAULT_MAX_TARGET_BODY_BYTES = 32_000_000;
/** Targets in the metric of tokens, so that its size does not depend on the fleet. */
const MAX_REPORTED_TARGETS = 20;

/** What the placement needs of the gateway. */
export interface PlacementDependencies {
  countVms(): number;
  /** Bound on the request bodies of all VMs in progress at one target; undefined for the default. */
  readMaxTargetBodyBytes(): number | undefined;
}

/** Creates the options of the slot queue that concern placement. */
export default function createPlacement(
  { clock, log, metrics, directory }: FleetComponentContext,
  { countVms, readMaxTargetBodyBytes }: PlacementDependencies,
): Pick<TargetPlacementOptions, 'maxBodyBytes' | 'onPlacementLimited'> {
  const logLimited = createRateLimitedLog(log, clock, 'placement-limited');
  metrics.gauge('limelead_target_tokens', () => listFullest(directory));
  return {
    maxBodyBytes: () => (readMaxTargetBodyBytes() ?? DEFAULT_MAX_TARGET_BODY_BYTES) / countVms(),
    onPlacementLimited: ({ requestId, reason, outcome, candidates }) => {
      metrics.count('limelead_placements_limited_total', 1, { reason, outcome });
      logLimited({ requestId, reason, outcome, candidates });
    },
  };
}

/** Tokens held at the fullest targets that this VM knows of, by target. */
function listFullest(directory: TargetDirectory) {
  return directory
    .all()
    .map(({ target }) => ({
      labels: { target: target.id },
      value: directory.tokens.countAt(target.id, target.service),
    }))
    .filter(({ value }) => value > 0)
    .sort((a, b) => b.value - a.value)
    .slice(0, MAX_REPORTED_TARGETS);
}
