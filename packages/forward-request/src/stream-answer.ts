/** Writes a streamed answer to the caller: one head, the pieces and the end. */
import type { LimeleadError } from '@limelead/errors';
import type { AnswerHead } from '@limelead/target-connections';
import {
  filterAnswerHeaders,
  writeWholeAnswer,
  type AnswerSink,
  type WholeAnswer,
} from './answer-sink.js';
import { MIN_SERVER_ERROR_STATUS } from './limits.js';

/** Writes the answer of one stream, whose pieces may come from several targets. */
export default class StreamAnswer {
  /** Head of the first answer; the heads of later attempts are ignored. */
  private head: AnswerHead | undefined;
  /** Unnumbered bytes after the last piece. */
  private trailer: Buffer = Buffer.alloc(0);
  private isBegun = false;

  constructor(private readonly sink: AnswerSink) {}

  /** True once the head was sent to the caller. */
  get hasBegun(): boolean {
    return this.isBegun;
  }

  setHead(head: AnswerHead): void {
    this.head ??= head;
  }

  setTrailer(trailer: Buffer): void {
    this.trailer = trailer;
  }

  /** Writes pieces in latin1 encoding, one character per byte. */
  write(pieces: string[]): void {
    this.begin();
    pieces.forEach((piece) => this.sink.write(Buffer.from(piece, 'latin1')));
  }

  /** Completes the stream. */
  end(): void {
    this.begin();
    if (this.trailer.length > 0) {
      this.sink.write(this.trailer);
    }
    this.sink.end();
  }

  /** Writes a complete answer in place of a stream. */
  replace(answer: WholeAnswer): void {
    writeWholeAnswer(this.sink, answer);
  }

  /** Refuses the request, or aborts the answer if it has started. */
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
      const headers = filterAnswerHeaders(this.head?.rawHeaders ?? []);
      this.sink.begin(this.head?.status ?? MIN_SERVER_ERROR_STATUS, headers);
    }
  }
}
