/**
 * Limits the bytes of an answer that are no body. The HTTP library limits headers and trailers, and
 * skips everything else without end: reason phrases, interim answers and extensions of chunks.
 */

/** Limit on the bytes before the body, with interim answers. */
export const MAX_HEAD_BYTES = 64 * 1_024;
export const MAX_INTERIM_ANSWERS = 32;
/** Limit on the bytes between and behind the parts of a body, apart from those for each of its bytes. */
export const MAX_FRAMING_BYTES = 64 * 1_024;
/** A chunk may hold a single byte. */
const FRAMING_BYTES_PER_BODY_BYTE = 16;

/** Answers of a lower status are interim ones. */
export const FIRST_FINAL_STATUS = 200;

/** A part of an answer that exceeds its limit. */
export interface AnswerExcess {
  part: 'head' | 'interim-answers' | 'framing' | 'body';
  /** Bytes, or interim answers. */
  size: number;
  limit: number;
}

/** The error of a connection that is closed at an excess. */
export class AnswerExcessError extends Error {
  override readonly name = 'AnswerExcessError';

  constructor({ part, size, limit }: AnswerExcess) {
    super(`${part} of ${size}, where ${limit} are allowed`);
  }
}

/** Meters one answer after the other on a connection. */
export default class AnswerMeter {
  private takenBytes = 0;
  private bodyBytes = 0;
  private interimAnswers = 0;
  private hasHead = false;

  /** @param maxBodyBytes limit on the bytes of a body */
  constructor(private readonly maxBodyBytes = Infinity) {}

  /** A request is sent; its answer follows. */
  begin(): void {
    Object.assign(this, { takenBytes: 0, bodyBytes: 0, interimAnswers: 0, hasHead: false });
  }

  /** The library takes bytes of the connection, or returns them if negative. */
  addTaken(bytes: number): void {
    this.takenBytes += bytes;
  }

  addHead(status: number): void {
    if (status < FIRST_FINAL_STATUS) {
      this.interimAnswers += 1;
    } else {
      this.hasHead = true;
    }
  }

  addBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Returns the part by which the answer exceeds a limit, if any. */
  findExcess(): AnswerExcess | undefined {
    if (this.interimAnswers > MAX_INTERIM_ANSWERS) {
      const size = this.interimAnswers;
      return { part: 'interim-answers', size, limit: MAX_INTERIM_ANSWERS };
    }
    if (this.bodyBytes > this.maxBodyBytes) {
      return { part: 'body', size: this.bodyBytes, limit: this.maxBodyBytes };
    }
    const size = this.takenBytes - this.bodyBytes;
    if (!this.hasHead) {
      return size > MAX_HEAD_BYTES ? { part: 'head', size, limit: MAX_HEAD_BYTES } : undefined;
    }
    const limit = MAX_HEAD_BYTES + MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * this.bodyBytes;
    return size > limit ? { part: 'framing', size, limit } : undefined;
  }
}
