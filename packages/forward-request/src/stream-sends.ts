/** The sends of one streamed request: where it may have run, and whether it may be sent once more. */
import { LimeleadError, type ErrorAnswerOverrides } from '@limelead/errors';
import type { LossCause } from '@limelead/track-service-targets';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import { MAX_TURNED_AWAY } from './limits.js';
import SendPayments, { type NoteUnreached } from './send-payments.js';
import type { TurnedAwayCause } from './stream-attempt.js';

/** Counts sends and holds the bounds on them. */
export default class StreamSends {
  private sends = 0;
  private turnedAway = 0;
  private readonly payments: SendPayments;
  private noteUnreached: NoteUnreached = () => undefined;
  /** Sends that a target may have run. */
  private ran = 0;
  /** Targets that may have run the request, and how each was lost. */
  private readonly ranAt = new Map<string, LossCause | undefined>();

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
  ) {
    this.payments = new SendPayments(context, admitted);
  }

  get count(): number {
    return this.sends;
  }

  get mayHaveRun(): boolean {
    return this.ran > 0;
  }

  noteSent(targetId: string): void {
    this.sends += 1;
    this.ran += 1;
    this.ranAt.set(targetId, undefined);
    this.noteUnreached = this.payments.noteSent();
  }

  noteLost(targetId: string, cause: LossCause): void {
    this.ranAt.set(targetId, cause);
  }

  /** The target did not run the request. */
  noteTurnedAway(targetId: string, cause: TurnedAwayCause): void {
    this.ran -= 1;
    this.ranAt.delete(targetId);
    this.turnedAway += 1;
    if (cause === 'unreachable') {
      this.noteUnreached();
    }
  }

  /** Why the request may never be sent again; undefined while it may. */
  findEnd(): LimeleadError | undefined {
    if (this.mayHaveRun && !this.admitted.route.repeatable) {
      const message = 'the request may have run and may not be repeated';
      return this.createError('outcome-unknown', message);
    }
    if (this.turnedAway > MAX_TURNED_AWAY) {
      return this.createError('overloaded', 'too many targets turned the request away');
    }
    if (this.hasUsedItsTargets) {
      const message = 'as many targets ran the request as its route allows';
      return this.createError('recovery-exhausted', message);
    }
    return undefined;
  }

  /** Targets that ran the request and are there still are counted; those that ended are not. */
  get hasUsedItsTargets(): boolean {
    const { directory } = this.context;
    const present = [...this.ranAt].filter(([id, cause]) => directory.isPresent(id, cause));
    return present.length >= this.admitted.route.maxTargets;
  }

  /** Pays for the next send; false where the budget is spent for now. */
  tryPay(): boolean {
    return this.payments.tryPay();
  }

  /** An error that promises no more than is known of the request's runs. */
  createError(
    kind: LimeleadError['kind'],
    message: string,
    overrides: ErrorAnswerOverrides = {},
  ): LimeleadError {
    const execution = this.mayHaveRun ? ('unknown' as const) : undefined;
    return new LimeleadError(kind, message, { ...overrides, execution });
  }
}
