/** Competes for a duty, renews its lease while it is held, and hands it over. */
import type { PortFault } from '@limelead/errors';
import { delay, type Clock, type Millis, type Random, type Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type LeasedDuty from './leased-duty.js';
import type { DutyLease, LeaseAnswer } from './duty-lease.js';
import planStep, { type DutyStatus, type DutyStep } from './plan-step.js';

/** Time between two decisions; a decision alone makes no call. */
const STEP_INTERVAL_MS = 200;
/** Number of renewals per lease, so that one may fail and the next is still in time. */
const RENEWALS_PER_LEASE = 3;
/** Backoff after a failed renewal. */
const RENEW_RETRY_MS = 300;
/** Backoff after an attempt that found the duty held, and after the first failure. */
const MIN_BACKOFF_MS = 500;
/** Maximum backoff between attempts. */
const MAX_BACKOFF_MS = 2_000;
/**
 * Time for which a VM that cannot carry a duty out leaves it to others. By then one of them has
 * acquired the duty and tried.
 */
const YIELD_MS = 10_000;
/** Share of a backoff that is random, so that VMs do not retry together. */
const JITTER_SHARE = 0.3;

/** Dependencies of an elector. */
export interface DutyElectorOptions {
  lease: DutyLease;
  duty: LeasedDuty;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Duration of the lease. */
  ttlMs: Millis;
  /** Position of this VM among the candidates, 0 for the first; undefined if it is no candidate. */
  readCandidateRank(): number | undefined;
  /** Since when this VM is isolated from most others; undefined if it is not. */
  readIsolatedSinceMs(): Millis | undefined;
  /**
   * Whether any VM holds the duty according to the watched store; undefined if nothing is known.
   */
  isHeldInStore(): boolean | undefined;
  onFault(step: DutyStep, fault: PortFault): void;
}

/** Runs from the start of the process to its end. */
export default class DutyElector {
  private vacantSinceMs: Millis | undefined;
  private notCandidateSinceMs: Millis | undefined;
  private holderCheckedAtMs: Millis = -Infinity;
  private retryAtMs: Millis = -Infinity;
  private yieldUntilMs: Millis = -Infinity;
  private failures = 0;
  private wasHeld = false;
  private isStopping = false;
  private currentStep: Promise<void> = Promise.resolve();

  constructor(private readonly options: DutyElectorOptions) {}

  /** Starts to compete for the duty. */
  start(): void {
    this.currentStep = this.runStep().finally(() => {
      if (!this.isStopping) {
        this.options.timers.after(STEP_INTERVAL_MS, () => this.start());
      }
    });
  }

  /**
   * Releases the duty and leaves it to others for a while, because this VM cannot carry it out.
   */
  yieldToOthers(): void {
    this.yieldUntilMs = this.options.clock.now() + YIELD_MS;
  }

  /**
   * Releases the duty after all permitted calls have arrived; resolves when another VM may acquire
   * it.
   */
  async handOver(): Promise<void> {
    this.isStopping = true;
    await this.currentStep;
    await this.release();
  }

  private async runStep(): Promise<void> {
    const { duty } = this.options;
    duty.checkExpiry();
    if (this.wasHeld && duty.sentAtMs === undefined) {
      // The watched store still shows this VM's own hold, so the store is asked again at once.
      this.holderCheckedAtMs = -Infinity;
    }
    if (!this.isStopping) {
      await this.performStep(planStep(this.readStatus()));
    }
    this.wasHeld = duty.sentAtMs !== undefined;
  }

  private readStatus(): DutyStatus {
    const { duty, clock, ttlMs, readCandidateRank, readIsolatedSinceMs, isHeldInStore } =
      this.options;
    const now = clock.now();
    const candidateRank = readCandidateRank();
    this.vacantSinceMs = isHeldInStore() === false ? (this.vacantSinceMs ?? now) : undefined;
    const isNotCandidate = duty.sentAtMs !== undefined && candidateRank === undefined;
    this.notCandidateSinceMs = isNotCandidate ? (this.notCandidateSinceMs ?? now) : undefined;
    return {
      now,
      candidateRank,
      sentAtMs: duty.sentAtMs,
      notCandidateSinceMs: this.notCandidateSinceMs,
      isolatedSinceMs: readIsolatedSinceMs(),
      heldSinceMs: duty.heldSinceMs,
      vacantSinceMs: this.vacantSinceMs,
      holderCheckedAtMs: this.holderCheckedAtMs,
      yieldUntilMs: this.yieldUntilMs,
      retryAtMs: this.retryAtMs,
      renewalIntervalMs: ttlMs / RENEWALS_PER_LEASE,
    };
  }

  private async performStep(step: DutyStep): Promise<void> {
    const { lease } = this.options;
    if (step === 'renew') {
      await this.handleAnswer(step, await lease.renew()());
    } else if (step === 'take') {
      this.holderCheckedAtMs = this.options.clock.now();
      await this.handleAnswer(step, await lease.acquire()());
    } else if (step === 'release') {
      await this.release();
    }
  }

  private async handleAnswer(
    step: DutyStep,
    answer: E.Either<PortFault, LeaseAnswer>,
  ): Promise<void> {
    if (E.isLeft(answer)) {
      this.options.onFault(step, answer.left);
      this.backOff(step === 'renew' ? RENEW_RETRY_MS : this.nextBackoffMs());
      return;
    }
    const isUsable = this.options.duty.onLeaseAnswer(answer.right);
    if (isUsable && answer.right.kind === 'ours') {
      this.failures = 0;
      return;
    }
    if (answer.right.kind === 'taken') {
      // The store answered, so the next vacancy needs no long backoff.
      this.failures = 0;
      this.backOff(MIN_BACKOFF_MS);
      return;
    }
    if (!isUsable) {
      // Keeping the lease of an unusable token would only keep others out.
      await this.release();
    }
    this.backOff(this.nextBackoffMs());
  }

  private nextBackoffMs(): Millis {
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.failures);
    this.failures += 1;
    return backoffMs;
  }

  private backOff(milliseconds: Millis): void {
    const { clock, random } = this.options;
    const jitterMs = milliseconds * JITTER_SHARE * random.next();
    this.retryAtMs = clock.now() + milliseconds + jitterMs;
  }

  /**
   * Releases the lease after all permitted calls have arrived, so that none arrives after a later
   * holder's.
   */
  private async release(): Promise<void> {
    const { duty, lease, clock, timers } = this.options;
    const token = duty.giveUp();
    const callsInFlightMs = duty.lastArrivalMs - clock.now();
    if (token !== undefined && callsInFlightMs > 0) {
      await delay(timers, callsInFlightMs);
    }
    const released = await lease.release()();
    if (E.isLeft(released)) {
      this.options.onFault('release', released.left);
      // The release may still be carried out, even after a renewal, so its token must not be used
      // again.
      duty.markTokenOutdated(token ?? 0);
    }
    this.backOff(MAX_BACKOFF_MS);
  }
}
