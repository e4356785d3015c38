/**
 * Pays for the sends of one request. The first that reaches a target is free;
 * later ones are paid from the retry budget that all VMs share. A send that
 * reached nobody costs nothing.
 */
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';

/** Called where a send reached no target. */
export type NoteUnreached = () => void;

/** Whose sends are paid for, and what they are sent to. */
type PaidRequest = Pick<AdmittedRequest, 'service'> & {
  request: Pick<AdmittedRequest['request'], 'requestId'>;
};

/** Keeps the account of one request. */
export default class SendPayments {
  /** Sends, and those of them that reached a target as far as is known. */
  private sends = 0;
  private arrived = 0;
  /** Whether the next send was paid for. */
  private isNextPaid = false;

  constructor(
    private readonly context: Pick<ForwardContext, 'clock' | 'countVms' | 'log' | 'retriesOf'>,
    private readonly request: PaidRequest,
  ) {}

  /** Pays for the next send where it has to be paid; false where the budget is spent. */
  tryPay(): boolean {
    if (this.arrived === 0) {
      this.isNextPaid = false;
      return true;
    }
    const { clock, countVms } = this.context;
    this.isNextPaid = this.spender.trySpend(clock.now(), countVms());
    if (!this.isNextPaid) {
      this.noteUnpaid();
    }
    return this.isNextPaid;
  }

  /** Notes a send, which is taken to arrive until it is known that it did not. */
  noteSent(): NoteUnreached {
    const wasPaid = this.isNextPaid;
    this.isNextPaid = false;
    this.arrived += 1;
    this.sends += 1;
    if (this.sends === 1) {
      this.spender.noteFirstSend(this.context.clock.now());
    }
    return () => {
      this.arrived -= 1;
      if (wasPaid) {
        this.spender.giveBack(this.context.clock.now());
      }
    };
  }

  private noteUnpaid(): void {
    const { service, request } = this.request;
    this.context.log.write('repeat-unpaid', {
      requestId: request.requestId,
      service,
      attempts: this.sends,
    });
  }

  private get spender(): ReturnType<ForwardContext['retriesOf']> {
    return this.context.retriesOf(this.request.service);
  }
}
