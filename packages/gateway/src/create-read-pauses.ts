/** Creates the count of paused reads with its log and its gauge. */
import type { DecisionLog } from '@limelead/decision-log';
import { ReadPauses } from '@limelead/forward-request';
import type { Metrics } from '@limelead/metrics';
import type { Clock } from '@limelead/types';

export default function createReadPauses(
  log: DecisionLog,
  metrics: Metrics,
  clock: Clock,
): ReadPauses {
  const pauses = new ReadPauses(log, clock);
  metrics.gauge('limelead_paused_reads', () => pauses.pausedReads);
  return pauses;
}
