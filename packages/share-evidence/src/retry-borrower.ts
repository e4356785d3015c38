/**
 * Borrows retries of retry budgets from peers, for VMs that are hit by more failures than others.
 * The lender counts a lent retry as spent at once, so that all VMs together never exceed the
 * budget, even if messages are lost.
 */
import { RecentTimes, type Clock, type Random } from '@limelead/types';
import pickRandomEntries from './pick-random-entries.js';
import type { PeerId } from './types.js';

/** Interval between two rounds of requests for one service, in milliseconds. */
const REQUEST_INTERVAL_MS = 100;
/** Number of peers asked in one round. */
const PEERS_PER_ROUND = 3;
/**
 * Retries requested from each peer. It is small, because a borrowed retry that is not needed is
 * lost to all VMs.
 */
const RETRIES_PER_REQUEST = 0.5;

/** Dependencies of `RetryBorrower`. */
export interface RetryBorrowerOptions {
  clock: Clock;
  random: Random;
  listPeers(): PeerId[];
  sendRequest(peer: PeerId, service: string, retries: number): void;
}

/** Requests retries from peers. */
export default class RetryBorrower {
  private readonly requested = new RecentTimes(REQUEST_INTERVAL_MS);

  constructor(private readonly options: RetryBorrowerOptions) {}

  /** Requests retries for a service from a random sample of peers, at most once per interval. */
  requestRetries(service: string): void {
    const { clock, random, listPeers, sendRequest } = this.options;
    const now = clock.now();
    if (this.requested.ageMs(service, now) !== undefined) {
      return;
    }
    this.requested.record(service, now);
    const peers = pickRandomEntries(listPeers(), PEERS_PER_ROUND, random);
    peers.forEach((peer) => sendRequest(peer, service, RETRIES_PER_REQUEST));
  }
}
