/** The asks that one VM sent to grantors, and what it got for them. */
import type { Clock, Millis } from '@limelead/types';

/** Grants that answer an older ask stood still somewhere; their time has passed. */
const VALID_MS: Millis = 500;

/** Remembers the last asks. */
export default class AskBook {
  private asked: { number: number; atMs: Millis }[] = [];
  private readonly received = new Map<string, number>();
  private lastNumber = 0;

  constructor(private readonly clock: Clock) {}

  /** Gives the number of the next ask, which is sent now. */
  begin(): number {
    const now = this.clock.now();
    this.lastNumber += 1;
    this.asked = this.asked.filter(({ atMs }) => now - atMs <= VALID_MS);
    this.asked.push({ number: this.lastNumber, atMs: now });
    return this.lastNumber;
  }

  /** Grants that came from a grantor so far. */
  countFrom(grantor: string): number {
    return this.received.get(grantor) ?? 0;
  }

  /** Grants came; false where their ask is too old for them to be used. */
  receive(grantor: string, number: number, grants: number): boolean {
    this.received.set(grantor, this.countFrom(grantor) + grants);
    const now = this.clock.now();
    return this.asked.some((ask) => ask.number === number && now - ask.atMs <= VALID_MS);
  }

  /** The link to a grantor is lost; both ends count anew. */
  forget(grantor: string): void {
    this.received.delete(grantor);
  }
}
