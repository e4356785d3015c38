/** One send of a call to one target: holds its answer back until it is whole, or passes it on. */
import type { AnswerHead, OpenCall } from '@limelead/target-connections';
import type { Millis, ServiceTarget } from '@limelead/types';
import type { WholeAnswer } from './answer-sink.js';
import type { ForwardContext } from './context.js';
import type { AnswerFacts, TargetOrder } from './dialect.js';
import type { Slot } from './slot-request.js';
import readAnswer from './read-answer.js';
import type { NoteUnreached } from './send-payments.js';

/** Longest answer that is held back until it is whole, in bytes; the users' are 0.8 KB on the mean. */
const MAX_HELD_BYTES = 256 * 1024;

/** What the owner of attempts is told. `onEnd`, `onFault` and `onTurnedAway` come last, and once. */
export interface CallAttemptEvents {
  /** The answer is too long to be held back; `passOn` gives what came so far. */
  onLong(attempt: CallAttempt, head: AnswerHead): void;
  /** A part of an answer that is passed on. */
  onData(attempt: CallAttempt, chunk: Buffer): void;
  /** The answer is whole; its body is empty where it was passed on. */
  onEnd(attempt: CallAttempt, answer: WholeAnswer): void;
  /** @param notSent true where the request certainly reached nobody */
  onFault(attempt: CallAttempt, notSent: boolean, reason: string): void;
  /** The target did not run the request. */
  onTurnedAway(attempt: CallAttempt, isOtherTarget: boolean): void;
}

/** What an attempt is made with. */
export interface CallAttemptOptions {
  number: number;
  slot: Slot;
  noteUnreached: NoteUnreached;
  events: CallAttemptEvents;
}

/** One send to one target. */
export default class CallAttempt {
  readonly number: number;
  readonly noteUnreached: NoteUnreached;
  /** True once it ended or was cancelled; nothing is told from then on. */
  isOver = false;
  /** When the request was sent; 0 before that. */
  sentAtMs: Millis = 0;
  private readonly slot: Slot;
  private readonly events: CallAttemptEvents;
  private open: OpenCall | undefined;
  private head: AnswerHead | undefined;
  private chunks: Buffer[] = [];
  private heldBytes = 0;
  private isPassedOn = false;

  constructor({ number, slot, noteUnreached, events }: CallAttemptOptions) {
    this.number = number;
    this.slot = slot;
    this.noteUnreached = noteUnreached;
    this.events = events;
  }

  get target(): ServiceTarget {
    return this.slot.tracked.target;
  }

  /** @param maxIdleMs longest rest of a connection that may be used */
  send(context: ForwardContext, order: TargetOrder, maxIdleMs: number): void {
    const { connections, dialect, clock } = context;
    this.sentAtMs = clock.now();
    this.open = connections.send(
      this.target,
      dialect.composeCall(order),
      { maxIdleMs },
      {
        onHead: (head) => this.onHead(readAnswer(context, order, head, this.sentAtMs), head),
        onData: (chunk) => this.onData(chunk),
        onEnd: () => this.onEnd(),
        onFault: (fault) =>
          this.over(() => this.events.onFault(this, fault.sent === 'no', fault.message)),
      },
    );
  }

  /** From here on the answer is told as it comes; gives what was held back. */
  passOn(): Buffer[] {
    this.isPassedOn = true;
    return this.chunks.splice(0);
  }

  /** Ends the send and gives its slot back; the target stops the run. */
  cancel(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.open?.cancel();
      this.slot.release();
    }
  }

  private onHead(facts: AnswerFacts, head: AnswerHead): void {
    if (!facts.isForRequest) {
      this.open?.cancel();
      this.over(() => this.events.onFault(this, false, 'answer of another request'));
      return;
    }
    this.head = head;
    if (facts.notRun) {
      this.open?.cancel();
      this.over(() => this.events.onTurnedAway(this, facts.isOtherTarget));
    }
  }

  private onData(chunk: Buffer): void {
    if (this.isOver || this.head === undefined) {
      return;
    }
    if (this.isPassedOn) {
      this.events.onData(this, chunk);
      return;
    }
    this.chunks.push(chunk);
    this.heldBytes += chunk.length;
    if (this.heldBytes > MAX_HELD_BYTES) {
      this.events.onLong(this, this.head);
    }
  }

  private onEnd(): void {
    const { head } = this;
    if (head !== undefined) {
      this.over(() => this.events.onEnd(this, { head, body: Buffer.concat(this.chunks) }));
    }
  }

  private over(tell: () => void): void {
    if (!this.isOver) {
      this.isOver = true;
      this.slot.release();
      tell();
    }
  }
}
