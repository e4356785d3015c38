/** Counts a send by how near its target is; gives that for the line about it. */
import type { Nearness } from '@limelead/locality';
import type { ServiceTarget } from '@limelead/types';
import type { ForwardContext } from './context.js';

/** Counts one send from this VM. */
export default function countSend(
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
