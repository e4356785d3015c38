/** Permit requests that a VM sent to grantors, and the grants that it received. */
import type { Clock, Millis } from '@limelead/types';

/** Grants that answer an older permit request were delayed on their way and are no longer valid. */
const REQUEST_VALIDITY_MS: Millis = 500;

/** Numbers permit requests, counts grants, and detects grants that arrive too late. */
export default class PermitRequestTracker {
  private recentRequests: { number: number; atMs: Millis }[] = [];
  private readonly grantsByGrantor = new Map<string, number>();
  private lastNumber = 0;

  constructor(private readonly clock: Clock) {}

  /** Records a permit request that is sent now; returns its number, from 1. */
  startRequest(): number {
    const now = this.clock.now();
    this.lastNumber += 1;
    this.recentRequests = this.recentRequests.filter(
      ({ atMs }) => now - atMs <= REQUEST_VALIDITY_MS,
    );
    this.recentRequests.push({ number: this.lastNumber, atMs: now });
    return this.lastNumber;
  }

  /** Number of grants received from a grantor. */
  countGrantsFrom(grantor: string): number {
    return this.grantsByGrantor.get(grantor) ?? 0;
  }

  /** Counts received grants; returns false if their permit request is too old for them to be used. */
  recordGrants(grantor: string, number: number, grants: number): boolean {
    this.grantsByGrantor.set(grantor, this.countGrantsFrom(grantor) + grants);
    const now = this.clock.now();
    return this.recentRequests.some(
      (request) => request.number === number && now - request.atMs <= REQUEST_VALIDITY_MS,
    );
  }

  /** Resets the count of a grantor after its link was lost; the grantor resets its own. */
  forget(grantor: string): void {
    this.grantsByGrantor.delete(grantor);
  }
}
