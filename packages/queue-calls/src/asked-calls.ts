/** The calls of one VM that wait for a place which was asked for, with their log lines and metrics. */
import type { RateLimitedLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, Millis, WaitingCall } from '@limelead/types';

/** How the wait of a call ended: also because it left or the service is not queued any more. */
export type WaitOutcome = 'granted' | 'refused' | 'left' | 'unqueued';

/** Dependencies of `AskedCalls`. */
export interface AskedCallsOptions {
  service: string;
  clock: Clock;
  metrics: Pick<Metrics, 'recordMs'>;
  logCall: RateLimitedLog;
}

interface AskedCall {
  call: WaitingCall;
  sinceMs: Millis;
  /** Calls of this VM that waited before it. */
  position: number;
}

/** Keeps the calls that the queue VM was told of. */
export default class AskedCalls {
  private readonly calls = new Map<number, AskedCall>();

  constructor(private readonly options: AskedCallsOptions) {}

  get size(): number {
    return this.calls.size;
  }

  has(id: number): boolean {
    return this.calls.has(id);
  }

  /**
   * Records the calls in a message.
   * @param isWhole true if all other calls wait no more
   */
  record(calls: readonly WaitingCall[], isWhole: boolean): void {
    if (isWhole) {
      const ids = new Set(calls.map(({ id }) => id));
      [...this.calls.keys()].filter((id) => !ids.has(id)).forEach((id) => this.end(id, 'left'));
    }
    for (const call of calls) {
      if (!this.calls.has(call.id)) {
        const sinceMs = this.options.clock.now();
        this.calls.set(call.id, { call, sinceMs, position: this.calls.size });
      }
    }
  }

  /** Ends the wait of a call; false if it had ended before. */
  end(id: number, outcome: WaitOutcome): boolean {
    const asked = this.calls.get(id);
    if (asked === undefined) {
      return false;
    }
    this.calls.delete(id);
    const { service, clock, metrics, logCall } = this.options;
    const { requestId, rank } = asked.call;
    const waitMs = Math.round(clock.now() - asked.sinceMs);
    metrics.recordMs('limelead_queue_wait_ms', waitMs, { rank: String(rank) });
    logCall({ requestId, service, waitMs, position: asked.position, outcome });
    return true;
  }

  /** Ends the waits of all calls. */
  endAll(outcome: WaitOutcome): void {
    [...this.calls.keys()].forEach((id) => this.end(id, outcome));
  }
}
