/**
 * Limits the bytes of all answers that wait for their callers. Pure. Addresses callers that read
 * slowly or not at all: a hundred of them must not exhaust the memory of a VM.
 */

/** Part of the limit that a single answer may use. */
const MAX_ANSWER_SHARE = 0.25;

/** An answer whose bytes are counted. */
export interface BufferedAnswer {
  /** Bytes counted now, 0 before the first. Only the budget changes it. */
  countedBytes: number;
}

/** An answer that has to be dropped. */
export interface DroppedAnswer<Answer> {
  answer: Answer;
  /** Bytes of the answer when it was dropped. */
  bytes: number;
  /** Bytes of all answers before the drop. */
  totalBytes: number;
}

/** Shared result of the usual case, so that it allocates nothing. */
const NOTHING_DROPPED: readonly never[] = [];

/** Counts the bytes of each answer and names the answers to drop when a limit is exceeded. */
export default class AnswerBufferBudget<Answer extends BufferedAnswer> {
  private readonly answers = new Set<Answer>();
  private totalBytes = 0;

  /** @param maxBytes limit on the bytes of all answers; a single one may use a quarter of it */
  constructor(private readonly maxBytes: number) {}

  /** Bytes of all answers. */
  get bufferedBytes(): number {
    return this.totalBytes;
  }

  /**
   * Sets the bytes of an answer. Returns the answers to drop, which are no longer counted: the
   * given one if it exceeds its share, then the largest ones until the total is within the limit.
   */
  record(answer: Answer, bytes: number): readonly DroppedAnswer<Answer>[] {
    if (answer.countedBytes === 0) {
      this.answers.add(answer);
    }
    this.totalBytes += bytes - answer.countedBytes;
    answer.countedBytes = bytes;
    const isWithinShare = bytes <= this.maxBytes * MAX_ANSWER_SHARE;
    return isWithinShare && this.totalBytes <= this.maxBytes
      ? NOTHING_DROPPED
      : this.drop(isWithinShare ? undefined : answer);
  }

  /** Stops to count an answer. */
  release(answer: Answer): void {
    this.totalBytes -= answer.countedBytes;
    answer.countedBytes = 0;
    this.answers.delete(answer);
  }

  private drop(oversized: Answer | undefined): DroppedAnswer<Answer>[] {
    const dropped: DroppedAnswer<Answer>[] = [];
    for (
      let answer = oversized ?? this.findLargest();
      answer !== undefined;
      answer = this.totalBytes > this.maxBytes ? this.findLargest() : undefined
    ) {
      dropped.push({ answer, bytes: answer.countedBytes, totalBytes: this.totalBytes });
      this.release(answer);
    }
    return dropped;
  }

  private findLargest(): Answer | undefined {
    let largest: Answer | undefined;
    for (const answer of this.answers) {
      if (answer.countedBytes > (largest?.countedBytes ?? 0)) {
        largest = answer;
      }
    }
    return largest;
  }
}
