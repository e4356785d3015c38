/**
 * Pays for the sends of one request. The first that reaches a target is free;
 * later ones are paid from the retry budget that all VMs share. A send that
 * reached nobody costs nothing.
 */
import type { ForwardContext } from './context.js';

/** Called where a send reached no target. */
export type NoteUnreached = () => void;

/** Keeps the account of one request. */
export default class SendPayments {
  private arrived = 0;
  private hasSent = false;
  /** Whether the next send was paid for. */
  private isNextPaid = false;

  constructor(
    private readonly context: Pick<ForwardContext, 'clock' | 'countVms' | 'retriesOf'>,
    private readonly service: string,
  ) {}

  /** Pays for the next send where it has to be paid; false where the budget is spent. */
  tryPay(): boolean {
    if (this.arrived === 0) {
      this.isNextPaid = false;
      return true;
    }
    const { clock, countVms } = this.context;
    this.isNextPaid = this.spender.trySpend(clock.now(), countVms());
    return this.isNextPaid;
  }

  /** Notes a send, which is taken to arrive until it is known that it did not. */
  noteSent(): NoteUnreached {
    const wasPaid = this.isNextPaid;
    this.isNextPaid = false;
    this.arrived += 1;
    if (!this.hasSent) {
      this.hasSent = true;
      this.spender.noteFirstSend(this.context.clock.now());
    }
    return () => {
      this.arrived -= 1;
      if (wasPaid) {
        this.spender.giveBack(this.context.clock.now());
      }
    };
  }

  private get spender(): ReturnType<ForwardContext['retriesOf']> {
    return this.context.retriesOf(this.service);
  }
}
