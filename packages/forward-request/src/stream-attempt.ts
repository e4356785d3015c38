/** One send of a streamed request to one target: reads its pieces and knows how it ends. */
import type { AnswerHead, OpenCall } from '@limelead/target-connections';
import type { Millis, ServiceTarget } from '@limelead/types';
import createPieceSplitter, { type PieceSplitter } from '@limelead/split-pieces';
import type { ForwardContext } from './context.js';
import type { TargetOrder } from './dialect.js';
import readAnswer from './read-answer.js';

/** Streams take a connection that rested only briefly. */
const STREAM_MAX_IDLE_MS = 1_000;
const OK = 200;

/** A numbered piece, with the unnumbered bytes that came before it. */
export interface NumberedPiece {
  number: number;
  bytes: Buffer;
}

/** Why a target did not run a request. */
export type TurnedAwayCause = 'unreachable' | 'full' | 'other-target';

/** What the owner of an attempt is told. After the last four nothing follows. */
export interface StreamAttemptEvents {
  onOpened(head: AnswerHead): void;
  onPieces(pieces: NumberedPiece[]): void;
  /** The target closed the stream properly; `trailer` are unnumbered bytes behind the last piece. */
  onEnded(trailer: Buffer): void;
  onBroken(reason: string): void;
  /** The request has not run there. */
  onTurnedAway(cause: TurnedAwayCause, reason: string): void;
  /** The target answered with something else than a stream. */
  onAnswered(head: AnswerHead, body: Buffer): void;
}

/** Sends one order. */
export default class StreamAttempt {
  private readonly splitter: PieceSplitter = createPieceSplitter();
  private readonly unnumbered: Buffer[] = [];
  private open: OpenCall | undefined;
  private head: AnswerHead | undefined;
  private otherBody: Buffer[] | undefined;
  private isOver = false;
  private sentAtMs: Millis = 0;

  constructor(
    private readonly context: ForwardContext,
    private readonly order: TargetOrder,
    private readonly events: StreamAttemptEvents,
  ) {}

  get target(): ServiceTarget {
    return this.order.target;
  }

  send(): void {
    const { clock, connections, dialect } = this.context;
    this.sentAtMs = clock.now();
    this.open = connections.send(
      this.target,
      dialect.composeCall(this.order),
      { maxIdleMs: STREAM_MAX_IDLE_MS },
      {
        onHead: (head) => this.onHead(head),
        onData: (chunk) => this.onData(chunk),
        onEnd: () => this.onEnd(),
        onFault: (fault) =>
          this.over(() =>
            fault.sent === 'no'
              ? this.events.onTurnedAway('unreachable', fault.message)
              : this.events.onBroken(fault.message),
          ),
      },
    );
  }

  /** Stops reading; the target stops the run when its connection closes. */
  cancel(): void {
    this.isOver = true;
    this.open?.cancel();
  }

  private onHead(head: AnswerHead): void {
    const facts = readAnswer(this.context, this.order, head, this.sentAtMs);
    if (!facts.isForRequest) {
      this.open?.cancel();
      this.over(() => this.events.onBroken('answer of another request'));
      return;
    }
    if (facts.notRun) {
      this.open?.cancel();
      const cause = facts.isOtherTarget ? 'other-target' : 'full';
      this.over(() => this.events.onTurnedAway(cause, `status ${head.status}`));
      return;
    }
    this.head = head;
    if (head.status === OK) {
      this.events.onOpened(head);
    } else {
      this.otherBody = [];
    }
  }

  private onData(chunk: Buffer): void {
    if (this.isOver) {
      return;
    }
    if (this.otherBody !== undefined) {
      this.otherBody.push(chunk);
      return;
    }
    const pieces = this.number(chunk);
    if (this.splitter.isOverlong) {
      this.open?.cancel();
      this.over(() => this.events.onBroken('a piece without end'));
    } else if (pieces.length > 0) {
      this.events.onPieces(pieces);
    }
  }

  /** Unnumbered bytes travel with the piece behind them. */
  private number(chunk: Buffer): NumberedPiece[] {
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
      this.over(() => this.events.onAnswered(head, Buffer.concat(otherBody)));
    } else if (this.splitter.pendingBytes > 0) {
      this.over(() => this.events.onBroken('ended inside a piece'));
    } else {
      this.over(() => this.events.onEnded(Buffer.concat(this.unnumbered)));
    }
  }

  private over(tell: () => void): void {
    if (!this.isOver) {
      this.isOver = true;
      tell();
    }
  }
}
