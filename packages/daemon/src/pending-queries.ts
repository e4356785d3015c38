/** Questions to peers that wait for their answers, each for a bounded time. */
import type { Timers } from '@limelead/types';

/** Waiting questions of one kind. */
export default class PendingQueries<Answer> {
  private readonly pending = new Map<number, (answer: Answer) => void>();
  private lastQuery = 0;

  constructor(
    private readonly timers: Timers,
    private readonly timeoutMs: number,
    /** Stands for the answer of a peer that gives none in time. */
    private readonly timeoutAnswer: Answer,
  ) {}

  /** Sends a question under a number of its own, and resolves with its answer. */
  sendQuery(send: (query: number) => void): Promise<Answer> {
    const query = (this.lastQuery += 1);
    return new Promise((resolve) => {
      this.pending.set(query, resolve);
      this.timers.after(this.timeoutMs, () => this.settle(query, this.timeoutAnswer));
      send(query);
    });
  }

  /** Takes an answer; one that comes too late is ignored. */
  settle(query: number, answer: Answer): void {
    this.pending.get(query)?.(answer);
    this.pending.delete(query);
  }
}
