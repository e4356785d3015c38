/** Asks a target something beside its work, with a bound on the time for the answer. */
import type { TargetCall, TargetConnections } from '@limelead/target-connections';
import type { Millis, ServiceTarget, Timers } from '@limelead/types';

/** Longest rest of a connection that a question may use, in milliseconds. */
const MAX_IDLE_MS = 2_000;

/** What asking needs. */
export interface AskOptions {
  connections: TargetConnections;
  timers: Timers;
  /** Time for the whole answer, in milliseconds. */
  timeoutMs: Millis;
}

/** Gives the body of the answer, or undefined where none came whole in time. */
export default function askTarget(
  { connections, timers, timeoutMs }: AskOptions,
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
      { maxIdleMs: MAX_IDLE_MS },
      {
        onHead: () => undefined,
        onData: (chunk) => chunks.push(chunk),
        onEnd: () => finish(Buffer.concat(chunks)),
        onFault: () => finish(undefined),
      },
    );
    const cancelTimer = timers.after(timeoutMs, () => {
      open.cancel();
      resolve(undefined);
    });
  });
}
