/** Matches answers of peers with the queries sent to them, with a timeout per query. */
import type { Timers } from '@limelead/types';

/** Pending queries of one kind. */
export default class PendingQueries<Answer> {
  private readonly pending = new Map<number, (answer: Answer) => void>();
  private lastQuery = 0;

  constructor(
    private readonly timers: Timers,
    private readonly timeoutMs: number,
    /** Result of a query that gets no answer in time. */
    private readonly timeoutAnswer: Answer,
  ) {}

  /** Sends a query with a unique number; resolves with its answer. */
  sendQuery(send: (query: number) => void): Promise<Answer> {
    const query = (this.lastQuery += 1);
    return new Promise((resolve) => {
      this.pending.set(query, resolve);
      this.timers.after(this.timeoutMs, () => this.settle(query, this.timeoutAnswer));
      send(query);
    });
  }

  /** Resolves a query with its answer; ignores an answer after the timeout. */
  settle(query: number, answer: Answer): void {
    this.pending.get(query)?.(answer);
    this.pending.delete(query);
  }
}
