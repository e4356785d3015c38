/** Lines and figures of one call. */
import type { AdmittedRequest } from './admitted-request.js';
import type CallAttempt from './call-attempt.js';
import type { ForwardContext } from './context.js';
import countSend from './count-send.js';
import identifyAdmitted from './identify-admitted.js';

/** How a call ended. */
export interface CallEnd {
  outcome: 'answered' | 'broke-off' | 'given-up' | 'caller-left';
  /** Status of the target's answer that the caller got. */
  status?: number;
  /** Target whose answer the caller got. */
  target?: string;
  /** Sends, and those of them that a target may have run. */
  attempts: number;
  ran: number;
}

/** Writes what was decided about one request. */
export default class CallReport {
  constructor(
    private readonly context: Pick<
      ForwardContext,
      'clock' | 'failureDomain' | 'locality' | 'log' | 'metrics'
    >,
    private readonly admitted: AdmittedRequest,
  ) {}

  sent({ number, target }: CallAttempt, remainingMs: number): void {
    const facts = { target: target.id, attempt: number, remainingMs: Math.round(remainingMs) };
    countSend(this.context, target);
    this.write('call-sent', facts);
  }

  failed({ number, target, sentAtMs }: CallAttempt, notSent: boolean, reason: string): void {
    this.write('call-failed', {
      identity: identifyAdmitted(this.admitted),
      target: target.id,
      attempt: number,
      notSent,
      runMs: Math.round(this.context.clock.now() - sentAtMs),
      reason,
    });
  }

  turnedAway({ target }: CallAttempt, isOtherTarget: boolean): void {
    this.write('call-turned-away', { target: target.id, isOtherTarget });
  }

  finished(end: CallEnd): void {
    const durationMs = Math.round(this.context.clock.now() - this.admitted.receivedAtMs);
    this.write('call-finished', { ...end, durationMs });
    this.context.metrics.count('limelead_calls_total', 1, { outcome: end.outcome });
    this.context.metrics.recordMs('limelead_call_ms', durationMs);
  }

  private write(event: string, fields: Parameters<ForwardContext['log']['write']>[1]): void {
    this.context.log.write(event, { requestId: this.admitted.request.requestId, ...fields });
  }
}
