/** Reports exceptions that nothing caught, with the connections that they name. */
import { createRateLimitedLog, type DecisionLog } from '@limelead/decision-log';
import { describeThrown } from '@limelead/errors';
import type { Metrics } from '@limelead/metrics';
import type { Clock } from '@limelead/types';
import formatAddress from './format-address.js';

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

/** Returns the other end as "host:port", or undefined if the exception names none. */
function findConnection(thrown: unknown): string | undefined {
  if (!(thrown instanceof Error)) {
    return undefined;
  }
  const { address, port, socket, cause } = thrown as Error & {
    /** Of the runtime's errors. */
    address?: string;
    port?: number;
    /** Of the HTTP library's errors. */
    socket?: { remoteAddress?: string; remotePort?: number } | null;
  };
  const host = address ?? socket?.remoteAddress;
  const hostPort = port ?? socket?.remotePort;
  return host === undefined || hostPort === undefined
    ? findConnection(cause)
    : formatAddress({ host, port: hostPort });
}
