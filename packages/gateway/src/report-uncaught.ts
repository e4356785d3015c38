/** Reports exceptions that nothing caught, with the connections that they name. */
import { createRateLimitedLog, type DecisionLog } from '@limelead/decision-log';
import { describeThrown, findConnection } from '@limelead/errors';
import type { Metrics } from '@limelead/metrics';
import type { Clock } from '@limelead/types';

/** Logs and counts an exception. */
export type ReportUncaught = (thrown: unknown) => void;

/** Creates a report that writes `uncaught-exception` lines within a rate limit. */
export default function createReportUncaught(
  log: DecisionLog,
  metrics: Metrics,
  clock: Clock,
): ReportUncaught {
  const write = createRateLimitedLog(log, clock, 'uncaught-exception');
  return (thrown) => {
    metrics.count('limelead_faults_total', 1, { boundary: 'process' });
    write({ reason: describeThrown(thrown), connection: findConnection(thrown) });
  };
}
