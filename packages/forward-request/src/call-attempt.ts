/** One attempt of a call at one target. Buffers the answer until it is complete or too long. */
import type { GuardedRun } from '@limelead/quarantine-requests';
import type { AnswerHead, OpenCall } from '@limelead/target-connections';
import type { Millis, PlaceOutcome, ServiceTarget } from '@limelead/types';
import type { WholeAnswer } from './answer-sink.js';
import type { ForwardContext } from './context.js';
import type { AnswerInfo, AttemptRequest } from './dialect.js';
import type { Slot } from './slot-request.js';
import readAnswer, { MAY_HAVE_RUN, withoutFalsePromise } from './read-answer.js';
import type { RefundAttempt } from './attempt-budget.js';

/** Longer answers are streamed to the caller. The answers of users have 0.8 KB on average. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Callbacks of an attempt. It ends with one call of `onEnd`, `onFault` or `onRejected`. */
export interface CallAttemptEvents {
  /** The answer is too long to buffer; `startStreaming` returns the buffered part. */
  onTooLongToBuffer(attempt: CallAttempt, head: AnswerHead): void;
  /** Bytes of the answer were buffered, or released if negative. */
  onBuffered(bytes: number): void;
  /** A chunk of an answer that is streamed. */
  onData(attempt: CallAttempt, chunk: Buffer): void;
  /** The answer is complete; its body is empty if it was streamed. */
  onEnd(attempt: CallAttempt, answer: WholeAnswer): void;
  /** @param notSent true if the request certainly reached no target */
  onFault(attempt: CallAttempt, notSent: boolean, reason: string): void;
  /** The target did not run the request. */
  onRejected(attempt: CallAttempt, isOtherTarget: boolean): void;
}

export interface CallAttemptOptions {
  number: number;
  slot: Slot;
  refund: RefundAttempt;
  events: CallAttemptEvents;
  /** Undefined if the attempt goes through another VM, which tracks the run itself. */
  run: GuardedRun | undefined;
}

/** One attempt at one target. */
export default class CallAttempt {
  readonly number: number;
  readonly refund: RefundAttempt;
  readonly run: GuardedRun | undefined;
  /** True once the attempt has ended or was cancelled; no callbacks follow. */
  isOver = false;
  /** Steady time at which the request was sent; 0 before. */
  sentAtMs: Millis = 0;
  private readonly slot: Slot;
  private readonly events: CallAttemptEvents;
  private open: OpenCall | undefined;
  private head: AnswerHead | undefined;
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private isStreaming = false;

  constructor({ number, slot, refund, events, run }: CallAttemptOptions) {
    this.number = number;
    this.slot = slot;
    this.refund = refund;
    this.run = run;
    this.events = events;
  }

  get target(): ServiceTarget {
    return this.slot.tracked.target;
  }

  /** Whether the attempt goes through another VM. */
  get isRelayed(): boolean {
    return this.target.isHelper === true;
  }

  /** @param maxIdleMs longest idle time of a connection to reuse */
  send(context: ForwardContext, attemptRequest: AttemptRequest, maxIdleMs: number): void {
    const { connections, dialect, clock } = context;
    this.sentAtMs = clock.now();
    this.open = connections.send(
      this.target,
      dialect.composeCall(attemptRequest),
      { maxIdleMs },
      {
        onHead: (head) =>
          this.onHead(readAnswer(context, attemptRequest, head, this.sentAtMs), head),
        onData: (chunk) => this.onData(chunk),
        onEnd: () => this.onEnd(),
        onFault: (fault) =>
          this.finish(() => this.events.onFault(this, fault.sent === 'no', fault.message)),
      },
    );
  }

  /** Streams the rest of the answer through `onData` and returns the buffered chunks. */
  startStreaming(): Buffer[] {
    this.isStreaming = true;
    this.releaseBuffered();
    return this.chunks.splice(0);
  }

  /** Cancels the attempt and releases its slot; the target stops the run. */
  cancel(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.open?.cancel();
      this.run?.abandon();
      this.releaseBuffered();
      this.slot.release();
    }
  }

  /** Ends the attempt at an answer whose rest is not needed. */
  endUnread(): void {
    this.open?.cancel();
    this.finish(() => undefined, 'answered');
  }

  /** Pauses or continues reading the answer. */
  setReadPaused(isPaused: boolean): void {
    if (isPaused) {
      this.open?.pause();
    } else {
      this.open?.resume();
    }
  }

  private onHead(info: AnswerInfo, head: AnswerHead): void {
    if (!info.isForRequest) {
      this.open?.cancel();
      this.finish(() => this.events.onFault(this, false, 'the answer belongs to another request'));
      return;
    }
    this.head = head;
    if (info.notRun) {
      this.open?.cancel();
      this.finish(() => this.events.onRejected(this, info.isOtherTarget), 'rejected');
      return;
    }
    this.head = withoutFalsePromise(head, this.target);
  }

  private onData(chunk: Buffer): void {
    if (this.isOver || this.head === undefined || this.head === MAY_HAVE_RUN) {
      return;
    }
    if (this.isStreaming) {
      this.events.onData(this, chunk);
      return;
    }
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    this.events.onBuffered(chunk.length);
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
      this.events.onTooLongToBuffer(this, this.head);
    }
  }

  private onEnd(): void {
    const { head } = this;
    if (head !== undefined) {
      const body = Buffer.concat(this.chunks);
      this.finish(() => this.events.onEnd(this, { head, body }), 'answered');
    }
  }

  private finish(notify: () => void, outcome?: PlaceOutcome): void {
    if (!this.isOver) {
      this.isOver = true;
      this.releaseBuffered();
      this.slot.release(outcome);
      notify();
    }
  }

  private releaseBuffered(): void {
    if (this.bufferedBytes > 0) {
      this.events.onBuffered(-this.bufferedBytes);
      this.bufferedBytes = 0;
    }
  }
}
