/** The sends of one stream that are under way, each with everything that belongs to it. */
import type { Millis, RecoveryPolicy } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import type { RunCopy, TargetOrder } from './dialect.js';
import type { Slot } from './slot-request.js';
import type RunCopies from './run-copies.js';
import RunHearing from './run-hearing.js';
import type { RunPace } from './target-pace.js';
import StreamAttempt, { type StreamAttemptEvents } from './stream-attempt.js';

/** One send with what belongs to it. */
export interface LiveAttempt {
  attempt: StreamAttempt;
  slot: Slot;
  /** Where the run's memory is copied to. */
  copy?: RunCopy;
  hearing: RunHearing;
  pace: RunPace;
  /** Time from the send to its first piece; undefined before that. */
  firstPieceAfterMs?: Millis;
  /** The run reads its prompt no longer. */
  endReading: () => void;
  forgetCopy: () => void;
  unwatch: () => void;
}

/** What a send begins with. */
export interface AttemptStart {
  slot: Slot;
  /** Number of the last piece that the caller has; 0 is none. */
  lastPiece: number;
  policy: RecoveryPolicy;
}

/** What the owner of the sends is told. */
export interface LiveAttemptsEvents {
  createEvents(number: number): StreamAttemptEvents;
  /** Called right before the order goes out. */
  onSending(number: number, order: TargetOrder): void;
  onSilent(number: number): void;
}

/** Holds the sends by their numbers. */
export default class LiveAttempts {
  private readonly live = new Map<number, LiveAttempt>();

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
    private readonly copies: RunCopies,
    private readonly events: LiveAttemptsEvents,
  ) {}

  get(number: number): LiveAttempt | undefined {
    return this.live.get(number);
  }

  /** Sends the request to the target of the slot. */
  start(number: number, { slot, lastPiece, policy }: AttemptStart): void {
    const order = this.composeOrder(slot, lastPiece);
    const { copyTo, continueFrom, target } = order;
    const { directory, silence } = this.context;
    const attempt = new StreamAttempt(this.context, order, this.events.createEvents(number));
    const hearing = this.createHearing(number, order, policy);
    const pace = this.context.pace.createRun(target);
    this.live.set(number, {
      pace,
      attempt,
      slot,
      copy: copyTo && { keeper: copyTo, runId: order.request.requestId },
      hearing,
      endReading: continueFrom ? () => undefined : directory.startReadingPrompt(target.id),
      forgetCopy: copyTo ? directory.addReplica(copyTo.id) : () => undefined,
      unwatch: silence.watch(hearing),
    });
    this.events.onSending(number, order);
    attempt.send();
  }

  /** A send is over; what belongs to it is given back. */
  release(number: number): void {
    const live = this.live.get(number);
    if (live !== undefined) {
      this.live.delete(number);
      live.unwatch();
      live.endReading();
      live.forgetCopy();
      live.slot.release();
    }
  }

  /** Ends a send; its target stops the run. */
  drop(number: number): void {
    this.live.get(number)?.attempt.cancel();
    this.release(number);
  }

  dropAll(): void {
    [...this.live.keys()].forEach((number) => this.drop(number));
  }

  private composeOrder(slot: Slot, lastPiece: number): TargetOrder {
    const { request, organisation, rank, dueAtMs } = this.admitted;
    const { target } = slot.tracked;
    return {
      request,
      target,
      organisation,
      remainingMs: dueAtMs - this.context.clock.now(),
      lastPiece,
      continueFrom: this.copies.use(target),
      copyTo: this.copies.chooseKeeper(slot),
      rank,
    };
  }

  private createHearing(
    number: number,
    { request, target, continueFrom }: TargetOrder,
    policy: RecoveryPolicy,
  ): RunHearing {
    return new RunHearing({
      requestId: request.requestId,
      target,
      continuesCopy: continueFrom !== undefined,
      policy,
      readingBoundMs: this.context.reading.boundMs(this.admitted),
      clock: this.context.clock,
      onSilent: () => this.events.onSilent(number),
    });
  }
}
