/** Order of waiting requests of one service by the fair shares of their organisations. */
import type { Millis } from '@limelead/types';

/** Demand of organisations in relation to their fair shares; undefined stands for open routes. */
export interface ShareOrder {
  /** 0 within its fair share, else demand divided by the share. */
  excessOf(organisation: string | undefined, now: Millis): number;
  recordArrival(organisation: string | undefined, now: Millis): void;
  /** Records that a request gets its place. */
  recordServed?(now: Millis): void;
  /** Records that a request has to wait for a place. */
  recordWait?(organisation: string | undefined, now: Millis): void;
  /** Records that a waiting request is refused. */
  recordRefusal?(organisation: string | undefined, now: Millis): void;
}

/** Treats all organisations alike. */
export const EQUAL_SHARES: ShareOrder = {
  excessOf: () => 0,
  recordArrival: () => undefined,
};

/** Values by which requests of one rank are compared. */
export interface ShareRank {
  excess: number;
  isRepeat: boolean;
}

/**
 * Negative if the first request is served before the second one of the same rank: first requests
 * come before repeats, then organisations within their shares, then the others by their excess.
 * With repeats behind first requests of the same share class only, 30 VMs that serve 0.8 of their
 * capacity answered 0.89 in place of 0.95 of the first requests in time when a tenth was repeated.
 */
export function compareShareRanks(a: ShareRank, b: ShareRank): number {
  return Number(a.isRepeat) - Number(b.isRepeat) || a.excess - b.excess;
}
