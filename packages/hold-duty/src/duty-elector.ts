/** Stands for a duty, keeps it while it is held, and hands it over. */
import type { PortFault } from '@limelead/errors';
import { delay, type Clock, type Millis, type Random, type Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type LeasedDuty from './leased-duty.js';
import type { DutyLease, LeaseAnswer } from './duty-lease.js';
import planStep, { type DutyStatus, type DutyStep } from './plan-step.js';

/** Time between two looks at the situation; no look costs a call. */
const STEP_INTERVAL_MS = 200;
/** Renewals that fit into a lease, so that one may fail and the next still be in time. */
const RENEWALS_PER_LEASE = 3;
/** Pause behind a renewal that failed: while the lease lasts another try is worth its call. */
const RENEW_RETRY_MS = 300;
/** Pause behind a try that found the duty taken, and behind the first that failed. */
const MIN_BACKOFF_MS = 500;
/**
 * Longest pause between tries, in milliseconds, for a store that is away for long: each call has
 * its price, and a window that ended meanwhile is due 10 s behind its end.
 */
const MAX_BACKOFF_MS = 2_000;
/**
 * Time for which a VM that can't carry a duty out leaves it to others, in milliseconds: one of
 * them has taken it and tried by then.
 */
const YIELD_MS = 10_000;
/** Share of a pause that is drawn, so that VMs that failed together do not try together. */
const JITTER_SHARE = 0.3;

/** What a keeper needs. */
export interface DutyElectorOptions {
  lease: DutyLease;
  duty: LeasedDuty;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Time that a lease lasts, in milliseconds. */
  ttlMs: Millis;
  /** Places behind the first of the VMs that stand for the duty; undefined where others stand. */
  readCandidateRank(): number | undefined;
  /** Since when this VM has no links to most of the others; undefined where it has. */
  readIsolatedSinceMs(): Millis | undefined;
  /** Whether somebody holds the duty by news of the store; undefined where they tell nothing. */
  isHeldInStore(): boolean | undefined;
  onFault(step: DutyStep, fault: PortFault): void;
}

/** Runs from the start of the process to its end. */
export default class DutyElector {
  private vacantSinceMs: Millis | undefined;
  private outOfPlaceSinceMs: Millis | undefined;
  private askedAtMs: Millis = -Infinity;
  private retryAtMs: Millis = -Infinity;
  private asideUntilMs: Millis = -Infinity;
  private failures = 0;
  private wasHeld = false;
  private isStopping = false;
  private underWay: Promise<void> = Promise.resolve();

  constructor(private readonly options: DutyElectorOptions) {}

  /** Begins to stand. */
  start(): void {
    this.underWay = this.look().finally(() => {
      if (!this.isStopping) {
        this.options.timers.after(STEP_INTERVAL_MS, () => this.start());
      }
    });
  }

  /** This VM holds the duty and can't carry it out: another may, for a while. */
  yieldToOthers(): void {
    this.asideUntilMs = this.options.clock.now() + YIELD_MS;
  }

  /** Gives the duty up, once all that was permitted arrived; resolves when another may take it. */
  async handOver(): Promise<void> {
    this.isStopping = true;
    await this.underWay;
    await this.release();
  }

  private async look(): Promise<void> {
    const { duty } = this.options;
    duty.checkExpiry();
    if (this.wasHeld && duty.sentAtMs === undefined) {
      // The store's news still show this VM's own hold.
      this.askedAtMs = -Infinity;
    }
    if (!this.isStopping) {
      await this.carryOut(planStep(this.readSituation()));
    }
    this.wasHeld = duty.sentAtMs !== undefined;
  }

  private readSituation(): DutyStatus {
    const { duty, clock, ttlMs, readCandidateRank, readIsolatedSinceMs, isHeldInStore } =
      this.options;
    const now = clock.now();
    const place = readCandidateRank();
    this.vacantSinceMs = isHeldInStore() === false ? (this.vacantSinceMs ?? now) : undefined;
    const isOutOfPlace = duty.sentAtMs !== undefined && place === undefined;
    this.outOfPlaceSinceMs = isOutOfPlace ? (this.outOfPlaceSinceMs ?? now) : undefined;
    return {
      now,
      candidateRank: place,
      sentAtMs: duty.sentAtMs,
      notCandidateSinceMs: this.outOfPlaceSinceMs,
      isolatedSinceMs: readIsolatedSinceMs(),
      heldSinceMs: duty.heldSinceMs,
      vacantSinceMs: this.vacantSinceMs,
      holderCheckedAtMs: this.askedAtMs,
      yieldUntilMs: this.asideUntilMs,
      retryAtMs: this.retryAtMs,
      renewalIntervalMs: ttlMs / RENEWALS_PER_LEASE,
    };
  }

  private async carryOut(step: DutyStep): Promise<void> {
    const { lease } = this.options;
    if (step === 'renew') {
      await this.takeAnswer(step, await lease.renew()());
    } else if (step === 'take') {
      this.askedAtMs = this.options.clock.now();
      await this.takeAnswer(step, await lease.acquire()());
    } else if (step === 'release') {
      await this.release();
    }
  }

  private async takeAnswer(
    step: DutyStep,
    answer: E.Either<PortFault, LeaseAnswer>,
  ): Promise<void> {
    if (E.isLeft(answer)) {
      this.options.onFault(step, answer.left);
      this.pause(step === 'renew' ? RENEW_RETRY_MS : this.lengthenPause());
      return;
    }
    const isUsable = this.options.duty.onLeaseAnswer(answer.right);
    if (isUsable && answer.right.kind === 'ours') {
      this.failures = 0;
      return;
    }
    if (answer.right.kind === 'taken') {
      // The store works and told all there is to know: the next vacancy is not waited out.
      this.failures = 0;
      this.pause(MIN_BACKOFF_MS);
      return;
    }
    if (!isUsable) {
      // The lease of a token that nobody may use would only keep others out.
      await this.release();
    }
    this.pause(this.lengthenPause());
  }

  private lengthenPause(): Millis {
    const pauseMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.failures);
    this.failures += 1;
    return pauseMs;
  }

  private pause(milliseconds: Millis): void {
    const { clock, random } = this.options;
    const drawnMs = milliseconds * JITTER_SHARE * random.next();
    this.retryAtMs = clock.now() + milliseconds + drawnMs;
  }

  /** Waits until calls on their way have arrived, so that none comes behind a later holder's. */
  private async release(): Promise<void> {
    const { duty, lease, clock, timers } = this.options;
    const token = duty.giveUp();
    const onTheirWayMs = duty.lastArrivalMs - clock.now();
    if (token !== undefined && onTheirWayMs > 0) {
      await delay(timers, onTheirWayMs);
    }
    const released = await lease.release()();
    if (E.isLeft(released)) {
      this.options.onFault('release', released.left);
      // It may be done at any time, also behind a renewal of the lease: whoever takes the
      // duty then would act beside this VM.
      duty.markTokenOutdated(token ?? 0);
    }
    this.pause(MAX_BACKOFF_MS);
  }
}
