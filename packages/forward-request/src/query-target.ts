/** Sends small calls to a target, outside of any request. */
import type { PortFault } from '@limelead/errors';
import type { AnswerHead, TargetCall, TargetConnections } from '@limelead/target-connections';
import type { Millis, ServiceTarget, Timers } from '@limelead/types';

/** Limit on the body of an answer. */
const MAX_BODY_BYTES = 4 * 1_024 * 1_024;
/** Longest idle time of a connection that a call reuses. */
const MAX_IDLE_MS = 2_000;

export interface TargetCallOptions {
  connections: Pick<TargetConnections, 'send'>;
  timers: Timers;
  /** Timeout for the complete answer. */
  timeoutMs: Millis;
  /** Longest idle time of a connection to reuse; 0 for a new one. Default: 2 s. */
  maxIdleMs?: Millis;
  /** Cancels the call, which then counts as timed out. */
  signal?: AbortSignal;
}

/** Result of a call. */
export type TargetCallResult =
  | { kind: 'answered'; head: AnswerHead | undefined; body: Buffer }
  | { kind: 'failed'; fault: PortFault }
  | { kind: 'timed-out' };

/** Resolves with the result; never rejects. */
export function callTarget(
  { connections, timers, timeoutMs, maxIdleMs = MAX_IDLE_MS, signal }: TargetCallOptions,
  target: ServiceTarget,
  call: TargetCall,
): Promise<TargetCallResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let head: AnswerHead | undefined;
    let bodyBytes = 0;
    const finish = (result: TargetCallResult): void => {
      cancelTimer();
      resolve(result);
    };
    const open = connections.send(
      target,
      call,
      { maxIdleMs },
      {
        onHead: (received) => (head = received),
        onData(chunk) {
          chunks.push(chunk);
          bodyBytes += chunk.length;
          if (bodyBytes > MAX_BODY_BYTES) {
            cancel();
          }
        },
        onEnd: () => finish({ kind: 'answered', head, body: Buffer.concat(chunks) }),
        onFault: (fault) => finish({ kind: 'failed', fault }),
      },
    );
    const cancel = (): void => {
      open.cancel();
      finish({ kind: 'timed-out' });
    };
    const cancelTimer = timers.after(timeoutMs, cancel);
    signal?.addEventListener('abort', cancel, { once: true });
  });
}

export interface QueryOptions extends TargetCallOptions {
  onFault?(fault: PortFault): void;
}

/** Returns the body of the answer, or undefined on a fault or timeout. */
export default async function queryTarget(
  { onFault, ...options }: QueryOptions,
  target: ServiceTarget,
  call: TargetCall,
): Promise<Buffer | undefined> {
  const result = await callTarget(options, target, call);
  if (result.kind === 'failed') {
    onFault?.(result.fault);
  }
  return result.kind === 'answered' ? result.body : undefined;
}
