/**
 * Borrows retries of retry budgets from peers, for VMs that are hit by more failures than others.
 * The lender counts a lent retry as spent at once, so that all VMs together never exceed the
 * budget, even if messages are lost. After the loss of a failure domain of engines, waiting
 * requests have some hundred milliseconds left, so a round takes one message to each of several
 * peers and their answers.
 */
import {
  RecentTimes,
  type CancelTimer,
  type Clock,
  type Random,
  type RetryNeed,
  type Timers,
} from '@limelead/types';
import pickRandomEntries from './pick-random-entries.js';
import type { PeerId } from './types.js';

/**
 * Interval between two rounds in which different peers are asked. Answers take two ways between
 * failure domains (1 to 3 ms) and the time of two busy event loops.
 */
const ROUND_INTERVAL_MS = 20;
/** Interval after which the same peers are asked again, since budget may have come or a message was lost. */
const REPEAT_INTERVAL_MS = 100;
/** Number of peers asked in one round. */
const MIN_PEERS_PER_ROUND = 3;
const MAX_PEERS_PER_ROUND = 8;
/** Peers asked per missing retry: in a large fleet a peer often has half a retry or less. */
const PEERS_PER_RETRY = 2;
/** Retries requested in one round per missing retry, since some peers have none to lend. */
const OVERBOOKING = 1.5;
/**
 * Smallest number of retries requested from a peer; also that of a VM with few retries left and no
 * waiting request. It is small, because a borrowed retry that is not needed is lost to all VMs:
 * requests for a whole one exhausted the budgets of 195 VMs during the loss of a failure domain.
 */
const MIN_RETRIES_PER_REQUEST = 0.5;
/** Needs of a VM that has few retries left: it must not take what waiting requests need. */
const PRECAUTION: RetryNeed[] = [{ class: 'call-repeat', retries: MIN_RETRIES_PER_REQUEST }];

/** Dependencies of `RetryBorrower`. */
export interface RetryBorrowerOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  listPeers(): PeerId[];
  /** Returns the retries that waiting requests of a service lack, by class. */
  listNeeds(service: string): RetryNeed[];
  sendRequest(peer: PeerId, service: string, needs: RetryNeed[]): void;
}

/** Rounds of one service while requests wait. */
interface Rounds {
  /** Peers that were not asked in this pass. */
  remaining: PeerId[];
  /** Retries that were lacking at the last round. */
  missing: number;
  lastRoundAtMs: number;
  cancelTimer: CancelTimer;
}

/** Requests retries from peers. */
export default class RetryBorrower {
  private readonly precautions = new RecentTimes(REPEAT_INTERVAL_MS);
  private readonly rounds = new Map<string, Rounds>();

  constructor(private readonly options: RetryBorrowerOptions) {}

  /** Requests some retries for a service that has few left, at most once per interval. */
  requestRetries(service: string): void {
    const { clock, random, listPeers, sendRequest } = this.options;
    const now = clock.now();
    if (this.precautions.ageMs(service, now) !== undefined) {
      return;
    }
    this.precautions.record(service, now);
    const peers = pickRandomEntries(listPeers(), MIN_PEERS_PER_ROUND, random);
    peers.forEach((peer) => sendRequest(peer, service, PRECAUTION));
  }

  /**
   * Requests what the waiting requests of a service lack, at once and again while they wait. Each
   * round asks other peers until all were asked. False if there is no peer.
   */
  requestForWaiters(service: string): boolean {
    const rounds = this.rounds.get(service);
    if (rounds === undefined || this.shouldRunEarly(service, rounds)) {
      this.runRound(service);
    }
    return this.options.listPeers().length > 0;
  }

  /** Stops all rounds. */
  stop(): void {
    this.rounds.forEach(({ cancelTimer }) => cancelTimer());
    this.rounds.clear();
  }

  /** New needs are not held back until the interval for repeated requests has passed. */
  private shouldRunEarly(service: string, { lastRoundAtMs, missing }: Rounds): boolean {
    const { clock, listNeeds } = this.options;
    return (
      clock.now() - lastRoundAtMs >= ROUND_INTERVAL_MS &&
      sumRetries(listNeeds(service)) >= missing + MIN_RETRIES_PER_REQUEST
    );
  }

  private runRound(service: string): void {
    const { clock, timers, random, listPeers, listNeeds, sendRequest } = this.options;
    const before = this.rounds.get(service);
    before?.cancelTimer();
    const needs = listNeeds(service);
    const missing = sumRetries(needs);
    const peers = listPeers();
    if (missing <= 0 || peers.length === 0) {
      this.rounds.delete(service);
      return;
    }
    const unasked = before?.remaining.filter((peer) => peers.includes(peer)) ?? [];
    const pass = unasked.length > 0 ? unasked : pickRandomEntries(peers, peers.length, random);
    const count = countPeers(missing);
    const remaining = pass.slice(count);
    const delayMs = remaining.length > 0 ? ROUND_INTERVAL_MS : REPEAT_INTERVAL_MS;
    this.rounds.set(service, {
      remaining,
      missing,
      lastRoundAtMs: clock.now(),
      cancelTimer: timers.after(delayMs, () => this.runRound(service)),
    });
    const asked = pass.slice(0, count);
    const wanted = Math.max(MIN_RETRIES_PER_REQUEST, (missing * OVERBOOKING) / asked.length);
    const share = wanted / missing;
    const part = needs.map((need) => ({ class: need.class, retries: need.retries * share }));
    asked.forEach((peer) => sendRequest(peer, service, part));
  }
}

function countPeers(missing: number): number {
  const wanted = Math.ceil(missing * PEERS_PER_RETRY);
  return Math.min(MAX_PEERS_PER_ROUND, Math.max(MIN_PEERS_PER_ROUND, wanted));
}

function sumRetries(needs: RetryNeed[]): number {
  return needs.reduce((total, { retries }) => total + retries, 0);
}
