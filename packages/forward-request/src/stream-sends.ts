/** The sends of one streamed request: where it may have run, and whether it may be sent once more. */
import { LimeleadError } from '@limelead/errors';
import type { LossCause } from '@limelead/track-service-targets';
import type { AdmittedRequest, ForwardContext } from './context.js';
import { MAX_TURNED_AWAY } from './limits.js';

/** Counts sends and holds the bounds on them. */
export default class StreamSends {
  private sends = 0;
  private turnedAway = 0;
  /** Sends that a target may have run. */
  private ran = 0;
  /** Targets that may have run the request, and how each was lost. */
  private readonly ranAt = new Map<string, LossCause | undefined>();

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
  ) {}

  get count(): number {
    return this.sends;
  }

  get mayHaveRun(): boolean {
    return this.ran > 0;
  }

  /** The first send of a request is what the budget for repeats is counted from. */
  noteSent(targetId: string): void {
    this.sends += 1;
    this.ran += 1;
    this.ranAt.set(targetId, undefined);
    if (this.sends === 1) {
      this.context.retriesOf(this.admitted.service).noteFirstSend(this.context.clock.now());
    }
  }

  noteLost(targetId: string, cause: LossCause): void {
    this.ranAt.set(targetId, cause);
  }

  /** The target did not run the request. */
  noteTurnedAway(targetId: string): void {
    this.ran -= 1;
    this.ranAt.delete(targetId);
    this.turnedAway += 1;
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

  /** The first send is free; later ones are paid from the budget that all VMs share. */
  tryPay(): boolean {
    if (this.sends === 0) {
      return true;
    }
    const { clock, countVms } = this.context;
    return this.context.retriesOf(this.admitted.service).trySpend(clock.now(), countVms());
  }

  /** An error that promises no more than is known of the request's runs. */
  createError(kind: LimeleadError['kind'], message: string): LimeleadError {
    return new LimeleadError(kind, message, this.mayHaveRun ? { execution: 'unknown' } : {});
  }
}
