/** Sends a small query to a target, outside of any request. */
import type { PortFault } from '@limelead/errors';
import type { TargetCall, TargetConnections } from '@limelead/target-connections';
import type { Millis, ServiceTarget, Timers } from '@limelead/types';

/** Longest idle time of a connection that a query reuses. */
const MAX_IDLE_MS = 2_000;

export interface QueryOptions {
  connections: TargetConnections;
  timers: Timers;
  /** Timeout for the complete answer. */
  timeoutMs: Millis;
  /** Longest idle time of a connection to reuse; 0 for a new one. Default: 2 s. */
  maxIdleMs?: Millis;
  onFault?(fault: PortFault): void;
}

/** Returns the body of the answer, or undefined on a fault or timeout. */
export default function queryTarget(
  { connections, timers, timeoutMs, maxIdleMs = MAX_IDLE_MS, onFault }: QueryOptions,
  target: ServiceTarget,
  call: TargetCall,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const finish = (body: Buffer | undefined): void => {
      cancelTimer();
      resolve(body);
    };
    const open = connections.send(
      target,
      call,
      { maxIdleMs },
      {
        onHead: () => undefined,
        onData: (chunk) => chunks.push(chunk),
        onEnd: () => finish(Buffer.concat(chunks)),
        onFault: (fault) => {
          onFault?.(fault);
          finish(undefined);
        },
      },
    );
    const cancelTimer = timers.after(timeoutMs, () => {
      open.cancel();
      resolve(undefined);
    });
  });
}
