/** Log lines and metrics of one call. */
import type { AdmittedRequest } from './admitted-request.js';
import type CallAttempt from './call-attempt.js';
import type { ForwardContext } from './context.js';
import countAttempt from './count-attempt.js';
import identifyAdmittedRequest from './identify-admitted-request.js';

/** Fields of the log line about the end of a call. */
export interface CallOutcome {
  outcome: 'answered' | 'broke-off' | 'given-up' | 'caller-left';
  /** Status of the answer, if the caller received one from a target. */
  status?: number;
  /** Target that sent the answer. */
  target?: string;
  attempts: number;
  /** Attempts that a target may have run. */
  ran: number;
}

/** Writes the log lines and metrics of one call. */
export default class CallReport {
  constructor(
    private readonly context: Pick<
      ForwardContext,
      'clock' | 'failureDomain' | 'locality' | 'log' | 'metrics' | 'observer'
    >,
    private readonly admitted: AdmittedRequest,
  ) {}

  sent({ number, target }: CallAttempt, remainingMs: number): void {
    const fields = { target: target.id, attempt: number, remainingMs: Math.round(remainingMs) };
    countAttempt(this.context, target);
    this.write('call-sent', fields);
  }

  failed({ number, target, sentAtMs }: CallAttempt, notSent: boolean, reason: string): void {
    this.write('call-failed', {
      identity: identifyAdmittedRequest(this.admitted),
      target: target.id,
      attempt: number,
      notSent,
      runMs: Math.round(this.context.clock.now() - sentAtMs),
      reason,
    });
  }

  rejected({ target }: CallAttempt, isOtherTarget: boolean): void {
    this.write('call-turned-away', { target: target.id, isOtherTarget });
  }

  /** Reports to the observer that a run started; the VM that relays a call reports its runs. */
  runStarted({ target, isRelayed }: CallAttempt): void {
    if (!isRelayed) {
      this.context.observer.onRunStarted?.(this.admitted, target);
    }
  }

  /** Reports to the observer that an attempt ended. */
  attemptEnded({ target, sentAtMs, isRelayed }: CallAttempt, isGood: boolean): void {
    const { clock, observer } = this.context;
    if (isRelayed) {
      return;
    }
    const afterMs = clock.now() - sentAtMs;
    observer.onAttemptEnded?.(this.admitted, target, { isGood, afterMs });
  }

  /** Reports to the observer that an attempt is cancelled before its answer. */
  attemptAbandoned({ target, sentAtMs, isRelayed }: CallAttempt): void {
    const { clock, observer } = this.context;
    if (isRelayed) {
      return;
    }
    observer.onAttemptAbandoned?.(this.admitted, target, clock.now() - sentAtMs);
  }

  finished(end: CallOutcome): void {
    const durationMs = Math.round(this.context.clock.now() - this.admitted.receivedAtMs);
    this.write('call-finished', { ...end, durationMs });
    this.context.metrics.count('limelead_calls_total', 1, { outcome: end.outcome });
    this.context.metrics.recordMs('limelead_call_ms', durationMs);
  }

  private write(event: string, fields: Parameters<ForwardContext['log']['write']>[1]): void {
    this.context.log.write(event, { requestId: this.admitted.request.requestId, ...fields });
  }
}
