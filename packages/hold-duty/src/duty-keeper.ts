/** Stands for a duty, keeps it while it is held, and hands it over. */
import type { PortFault } from '@limelead/errors';
import { delay, type Clock, type Millis, type Random, type Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type HeldDuty from './held-duty.js';
import type { LeaseSeat, SeatAnswer } from './lease-seat.js';
import planStep, { type DutySituation, type DutyStep } from './plan-step.js';

/** Time between two looks at the situation; no look costs a call. */
const LOOK_EVERY_MS = 200;
/** Renewals that fit into a lease, so that one may fail and the next still be in time. */
const RENEWALS_A_LEASE = 3;
/** Pause behind a renewal that failed: while the lease lasts another try is worth its call. */
const RENEW_AGAIN_MS = 300;
/** Pause behind the first try to take that failed or found the duty taken. */
const FIRST_PAUSE_MS = 500;
/** Longest pause between tries, for a store that is away for long: each call has its price. */
const LONGEST_PAUSE_MS = 4_000;
/** Share of a pause that is drawn, so that VMs that failed together do not try together. */
const DRAWN_SHARE = 0.3;

/** What a keeper needs. */
export interface DutyKeeperOptions {
  seat: LeaseSeat;
  duty: HeldDuty;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Time that a lease lasts, in milliseconds. */
  ttlMs: Millis;
  /** Places behind the first of the VMs that stand for the duty; undefined where others stand. */
  readPlace(): number | undefined;
  /** Whether somebody holds the duty by news of the store; undefined where they tell nothing. */
  isTaken(): boolean | undefined;
  onFault(step: DutyStep, fault: PortFault): void;
}

/** Runs from the start of the process to its end. */
export default class DutyKeeper {
  private vacantSinceMs: Millis | undefined;
  private outOfPlaceSinceMs: Millis | undefined;
  private askedAtMs: Millis = -Infinity;
  private retryAtMs: Millis = -Infinity;
  private failures = 0;
  private wasHeld = false;
  private isStopping = false;
  private underWay: Promise<void> = Promise.resolve();

  constructor(private readonly options: DutyKeeperOptions) {}

  /** Begins to stand. */
  start(): void {
    this.underWay = this.look().finally(() => {
      if (!this.isStopping) {
        this.options.timers.after(LOOK_EVERY_MS, () => this.start());
      }
    });
  }

  /** Gives the duty up, once all that was permitted arrived; resolves when another may take it. */
  async handOver(): Promise<void> {
    this.isStopping = true;
    await this.underWay;
    await this.release();
  }

  private async look(): Promise<void> {
    const { duty } = this.options;
    duty.noteTime();
    if (this.wasHeld && duty.sentAtMs === undefined) {
      // The store's news still show this VM's own hold.
      this.askedAtMs = -Infinity;
    }
    if (!this.isStopping) {
      await this.carryOut(planStep(this.readSituation()));
    }
    this.wasHeld = duty.sentAtMs !== undefined;
  }

  private readSituation(): DutySituation {
    const { duty, clock, ttlMs, readPlace, isTaken } = this.options;
    const now = clock.now();
    const place = readPlace();
    this.vacantSinceMs = isTaken() === false ? (this.vacantSinceMs ?? now) : undefined;
    const isOutOfPlace = duty.sentAtMs !== undefined && place === undefined;
    this.outOfPlaceSinceMs = isOutOfPlace ? (this.outOfPlaceSinceMs ?? now) : undefined;
    return {
      now,
      place,
      sentAtMs: duty.sentAtMs,
      outOfPlaceSinceMs: this.outOfPlaceSinceMs,
      vacantSinceMs: this.vacantSinceMs,
      askedAtMs: this.askedAtMs,
      retryAtMs: this.retryAtMs,
      renewEveryMs: ttlMs / RENEWALS_A_LEASE,
    };
  }

  private async carryOut(step: DutyStep): Promise<void> {
    const { seat } = this.options;
    if (step === 'renew') {
      await this.takeAnswer(step, await seat.renew()());
    } else if (step === 'take') {
      this.askedAtMs = this.options.clock.now();
      await this.takeAnswer(step, await seat.take()());
    } else if (step === 'release') {
      await this.release();
    }
  }

  private async takeAnswer(step: DutyStep, answer: E.Either<PortFault, SeatAnswer>): Promise<void> {
    if (E.isLeft(answer)) {
      this.options.onFault(step, answer.left);
      this.pause(step === 'renew' ? RENEW_AGAIN_MS : this.lengthenPause());
      return;
    }
    const isUsable = this.options.duty.noteAnswer(answer.right);
    if (isUsable && answer.right.kind === 'ours') {
      this.failures = 0;
      return;
    }
    if (!isUsable) {
      // The lease of a token that nobody may use would only keep others out.
      await this.release();
    }
    this.pause(this.lengthenPause());
  }

  private lengthenPause(): Millis {
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.failures);
    this.failures += 1;
    return pauseMs;
  }

  private pause(milliseconds: Millis): void {
    const { clock, random } = this.options;
    const drawnMs = milliseconds * DRAWN_SHARE * random.next();
    this.retryAtMs = clock.now() + milliseconds + drawnMs;
  }

  /** Waits until calls on their way have arrived, so that none comes behind a later holder's. */
  private async release(): Promise<void> {
    const { duty, seat, clock, timers } = this.options;
    const isHeld = duty.sentAtMs !== undefined;
    duty.giveUp();
    const onTheirWayMs = duty.lastArrivalMs - clock.now();
    if (isHeld && onTheirWayMs > 0) {
      await delay(timers, onTheirWayMs);
    }
    const released = await seat.release()();
    if (E.isLeft(released)) {
      this.options.onFault('release', released.left);
    }
    this.pause(LONGEST_PAUSE_MS);
  }
}
