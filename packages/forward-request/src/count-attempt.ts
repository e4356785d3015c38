/** Counts attempts by the nearness of their targets. */
import type { Nearness } from '@limelead/locality';
import type { ServiceTarget } from '@limelead/types';
import type { ForwardContext } from './context.js';

/** Counts one attempt and returns the nearness of its target. */
export default function countAttempt(
  {
    failureDomain,
    locality,
    metrics,
  }: Pick<ForwardContext, 'failureDomain' | 'locality' | 'metrics'>,
  target: ServiceTarget,
): Nearness {
  const nearness = locality.readNearness(failureDomain, target.failureDomain);
  metrics.count('limelead_sends_total', 1, { nearness });
  return nearness;
}
