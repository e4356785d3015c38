/**
 * Reads a value for many askers with one call at a time. A call serves only those who asked before
 * it was sent, so that its answer is never older than the question.
 */
import type { Millis, Timers } from '@limelead/types';

/** Answers the question once; later calls have no effect. */
type Settle<Value> = (value: Value | undefined) => void;

/** Shared reads of one value. */
export default class CoalescedReads<Value> {
  private readonly waiting = new Set<Settle<Value>>();
  private isReading = false;

  /**
   * @param call resolves with undefined if the read failed
   * @param timeoutMs longest time from a question to its answer
   */
  constructor(
    private readonly timers: Timers,
    private readonly timeoutMs: Millis,
    private readonly call: () => Promise<Value | undefined>,
  ) {}

  /**
   * Asks for the value. `receive` is called once, with undefined if there is no answer in time.
   * @returns a function that cancels the question
   */
  ask(receive: (value: Value | undefined) => void): () => void {
    let isOver = false;
    const end = (): boolean => {
      const wasOver = isOver;
      isOver = true;
      cancelTimer();
      this.waiting.delete(settle);
      return !wasOver;
    };
    const settle: Settle<Value> = (value) => {
      if (end()) {
        receive(value);
      }
    };
    const cancelTimer = this.timers.after(this.timeoutMs, () => settle(undefined));
    this.waiting.add(settle);
    void this.read();
    return () => void end();
  }

  private async read(): Promise<void> {
    if (this.isReading) {
      return;
    }
    this.isReading = true;
    try {
      while (this.waiting.size > 0) {
        const served = [...this.waiting];
        this.waiting.clear();
        const value = await this.call();
        served.forEach((settle) => settle(value));
      }
    } finally {
      this.isReading = false;
    }
  }
}
