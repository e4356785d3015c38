/** The caller's side of one streamed answer: its head once, its pieces, and how it ends. */
import type { LimeleadError } from '@limelead/errors';
import type { AnswerHead } from '@limelead/target-connections';
import {
  keepAnswerHeaders,
  passWholeAnswer,
  type AnswerSink,
  type WholeAnswer,
} from './answer-sink.js';
import { SERVER_ERROR_STATUS } from './limits.js';

/** Writes the answer of one stream, whichever targets its pieces come from. */
export default class StreamAnswer {
  /** The head of the first target that answered; the caller sees no other. */
  private head: AnswerHead | undefined;
  /** Unnumbered bytes behind the last piece. */
  private trailer: Buffer = Buffer.alloc(0);
  private isBegun = false;

  constructor(private readonly sink: AnswerSink) {}

  /** Whether the caller has the head. */
  get hasBegun(): boolean {
    return this.isBegun;
  }

  noteHead(head: AnswerHead): void {
    this.head ??= head;
  }

  noteTrailer(trailer: Buffer): void {
    this.trailer = trailer;
  }

  /** Passes pieces on; each is the text of its bytes, one character a byte. */
  write(pieces: string[]): void {
    this.begin();
    pieces.forEach((piece) => this.sink.write(Buffer.from(piece, 'latin1')));
  }

  /** The stream is whole. */
  end(): void {
    this.begin();
    if (this.trailer.length > 0) {
      this.sink.write(this.trailer);
    }
    this.sink.end();
  }

  /** A whole answer that is no stream, in place of one. */
  replace(answer: WholeAnswer): void {
    passWholeAnswer(this.sink, answer);
  }

  /** Nothing more will come: an answer that has begun is cut, so that it does not look whole. */
  fail(error: LimeleadError): void {
    if (this.isBegun) {
      this.sink.abort(error);
    } else {
      this.sink.refuse(error);
    }
  }

  private begin(): void {
    if (!this.isBegun) {
      this.isBegun = true;
      const headers = keepAnswerHeaders(this.head?.rawHeaders ?? []);
      this.sink.begin(this.head?.status ?? SERVER_ERROR_STATUS, headers);
    }
  }
}
