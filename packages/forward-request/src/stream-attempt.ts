/** One attempt of a stream at one target. Reads its pieces and detects how it ends. */
import type { AnswerHead, OpenCall } from '@limelead/target-connections';
import type { Millis, ServiceTarget } from '@limelead/types';
import createPieceSplitter, { type PieceSplitter } from '@limelead/split-pieces';
import type { ForwardContext } from './context.js';
import type { AttemptRequest } from './dialect.js';
import { MIN_SERVER_ERROR_STATUS } from './limits.js';
import readAnswer, { MAY_HAVE_RUN, withoutFalsePromise } from './read-answer.js';

/** Longest idle time of a connection that a stream reuses. */
const STREAM_MAX_IDLE_MS = 1_000;
/** Limit on the body of a failure that is buffered. */
const MAX_BUFFERED_FAILURE_BYTES = 256 * 1_024;
const OK = 200;

/** A numbered piece, including the unnumbered bytes before it. */
export interface NumberedPiece {
  number: number;
  bytes: Buffer;
}

/** Why a target did not run a request. */
export type RejectionCause = 'unreachable' | 'full' | 'other-target';

/** Callbacks of an attempt. No callback follows any of the last four. */
export interface StreamAttemptEvents {
  onOpened(head: AnswerHead): void;
  onPieces(pieces: NumberedPiece[]): void;
  /** The stream ended properly; `trailer` holds the unnumbered bytes after the last piece. */
  onEnded(trailer: Buffer): void;
  onBroken(reason: string): void;
  /** The target did not run the request. */
  onRejected(cause: RejectionCause, reason: string): void;
  /** The target sent a complete answer that is not a stream. */
  onOtherAnswer(head: AnswerHead, body: Buffer): void;
  /** Bytes of such an answer were buffered, or released if negative. */
  onBuffered(bytes: number): void;
}

/** One attempt at one target. */
export default class StreamAttempt {
  private readonly splitter: PieceSplitter = createPieceSplitter();
  private readonly unnumbered: Buffer[] = [];
  private open: OpenCall | undefined;
  private head: AnswerHead | undefined;
  private otherBody: Buffer[] | undefined;
  private otherBytes = 0;
  private isOver = false;
  private sentAtMs: Millis = 0;

  constructor(
    private readonly context: ForwardContext,
    private readonly attemptRequest: AttemptRequest,
    private readonly events: StreamAttemptEvents,
  ) {}

  get target(): ServiceTarget {
    return this.attemptRequest.target;
  }

  send(): void {
    const { clock, connections, dialect } = this.context;
    this.sentAtMs = clock.now();
    this.open = connections.send(
      this.target,
      dialect.composeCall(this.attemptRequest),
      { maxIdleMs: STREAM_MAX_IDLE_MS },
      {
        onHead: (head) => this.onHead(head),
        onData: (chunk) => this.onData(chunk),
        onEnd: () => this.onEnd(),
        onFault: (fault) =>
          this.finish(() =>
            fault.sent === 'no'
              ? this.events.onRejected('unreachable', fault.message)
              : this.events.onBroken(fault.message),
          ),
      },
    );
  }

  /** Closes the connection, at which the target stops the run. */
  cancel(): void {
    this.isOver = true;
    this.open?.cancel();
    this.releaseBuffered();
  }

  /** Pauses reading; returns false if that is not possible. */
  pauseReading(): boolean {
    return this.open?.pause() ?? false;
  }

  resumeReading(): void {
    this.open?.resume();
  }

  private onHead(head: AnswerHead): void {
    const info = readAnswer(this.context, this.attemptRequest, head, this.sentAtMs);
    if (!info.isForRequest) {
      this.open?.cancel();
      this.finish(() => this.events.onBroken('the answer belongs to another request'));
      return;
    }
    if (info.notRun) {
      this.open?.cancel();
      const cause = info.isOtherTarget ? 'other-target' : 'full';
      this.finish(() => this.events.onRejected(cause, `status ${head.status}`));
      return;
    }
    this.head = withoutFalsePromise(head, this.target);
    if (head.status === OK) {
      this.events.onOpened(head);
    } else {
      this.otherBody = [];
    }
  }

  private onData(chunk: Buffer): void {
    if (this.isOver || this.head === MAY_HAVE_RUN) {
      return;
    }
    if (this.otherBody !== undefined) {
      this.bufferOther(this.otherBody, chunk);
      return;
    }
    const pieces = this.numberPieces(chunk);
    if (this.splitter.isOversized) {
      this.open?.cancel();
      this.finish(() => this.events.onBroken('a piece is too long'));
    } else if (pieces.length > 0) {
      this.events.onPieces(pieces);
    }
  }

  /** Buffers an answer that is no stream. A long failure is not read to its end. */
  private bufferOther(body: Buffer[], chunk: Buffer): void {
    body.push(chunk);
    this.otherBytes += chunk.length;
    this.events.onBuffered(chunk.length);
    const isFailure = (this.head?.status ?? 0) >= MIN_SERVER_ERROR_STATUS;
    if (isFailure && this.otherBytes > MAX_BUFFERED_FAILURE_BYTES) {
      this.open?.cancel();
      this.finish(() => this.events.onBroken(`status ${this.head?.status} with a long body`));
    }
  }

  /** Adds unnumbered bytes to the next numbered piece. */
  private numberPieces(chunk: Buffer): NumberedPiece[] {
    const pieces: NumberedPiece[] = [];
    for (const { number, bytes } of this.splitter.push(chunk)) {
      this.unnumbered.push(bytes);
      if (number !== undefined) {
        pieces.push({ number, bytes: Buffer.concat(this.unnumbered.splice(0)) });
      }
    }
    return pieces;
  }

  private onEnd(): void {
    const { head, otherBody } = this;
    if (head === undefined) {
      return;
    }
    if (otherBody !== undefined) {
      this.finish(() => this.events.onOtherAnswer(head, Buffer.concat(otherBody)));
    } else if (this.splitter.pendingBytes > 0) {
      this.finish(() => this.events.onBroken('the stream ended within a piece'));
    } else {
      this.finish(() => this.events.onEnded(Buffer.concat(this.unnumbered)));
    }
  }

  private finish(notify: () => void): void {
    if (!this.isOver) {
      this.isOver = true;
      this.releaseBuffered();
      notify();
    }
  }

  private releaseBuffered(): void {
    if (this.otherBytes > 0) {
      this.events.onBuffered(-this.otherBytes);
      this.otherBytes = 0;
    }
  }
}
