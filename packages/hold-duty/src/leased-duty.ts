/**
 * Tracks whether this VM holds a duty, and permits calls only while its lease is certain to last.
 */
import type { Clock, Millis } from '@limelead/types';
import type { Duty, DutyPermit } from './duty.js';
import type { LeaseAnswer } from './duty-lease.js';
import ClockJumpDetector from './clock-jump-detector.js';

/** Reason why a duty was lost. */
export type DutyLoss =
  /** No renewal was answered before the lease expired. */
  | 'lapsed'
  /** The store gave the lease to another VM or ended it. */
  | 'ended'
  /** A later holder's token was seen. */
  | 'outdated'
  /** This VM gave the duty up. */
  | 'given-up';

/** Dependencies and limits of a leased duty. */
export interface LeasedDutyOptions {
  holder: string;
  /** Steady clock. */
  clock: Clock;
  /** Time of day; continues while the VM is suspended, and may be set. */
  timeOfDay: Clock;
  /**
   * Minimum time between this VM's last call under an earlier token, or by an earlier process, and
   * its next one, so that the platform never sees holders A, B, A within it. 0 disables it.
   */
  reacquireDelayMs: Millis;
  /** Unused end of the lease, for clocks that run at different speeds. */
  marginMs: Millis;
  onAcquired(token: number, mayActInMs: Millis): void;
  onLost(token: number, loss: DutyLoss, leaseAgeMs: Millis): void;
  /**
   * Called when the steady clock may have missed this time; no call is permitted until the lease is
   * confirmed.
   */
  onClockJump(lostMs: Millis): void;
}

interface Hold extends DutyPermit {
  /** When the last answered call was sent. */
  sentAtMs: Millis;
  ttlMs: Millis;
  permitsFromMs: Millis;
}

/** A duty held by a lease. */
export default class LeasedDuty implements Duty {
  readonly holder: string;
  private hold: Hold | undefined;
  /** Tokens up to this one are not used any more. */
  private outdatedToken = 0;
  /**
   * When the last permitted call has arrived or is lost; initially that of the previous process.
   */
  private lastCallArrivalMs: Millis;
  private readonly clockJumps: ClockJumpDetector;

  constructor(private readonly options: LeasedDutyOptions) {
    const { clock, timeOfDay, onClockJump } = options;
    this.clockJumps = new ClockJumpDetector(clock, timeOfDay, onClockJump);
    this.holder = options.holder;
    this.lastCallArrivalMs = options.clock.now();
  }

  /** When the last answered renewal was sent; undefined while the duty is not held. */
  get sentAtMs(): Millis | undefined {
    return this.hold?.sentAtMs;
  }

  /** Since when the duty is held; undefined while it is not. */
  get heldSinceMs(): Millis | undefined {
    return this.hold?.heldSinceMs;
  }

  /** When all permitted calls have arrived or are lost. */
  get lastArrivalMs(): Millis {
    return this.lastCallArrivalMs;
  }

  permit(arrivalMs: Millis): DutyPermit | undefined {
    const { hold } = this;
    const now = this.options.clock.now();
    if (hold === undefined || now < hold.permitsFromMs) {
      return undefined;
    }
    // The steady clock stops while the VM is suspended, so the time lost is added.
    const arrivesAtMs = now + arrivalMs + this.clockJumps.jumpedSince(hold.sentAtMs);
    if (arrivesAtMs > this.validUntilMs(hold)) {
      return undefined;
    }
    if (arrivalMs > 0) {
      // Without a call there is nothing to wait for before the next hold.
      this.lastCallArrivalMs = Math.max(this.lastCallArrivalMs, now + arrivalMs);
    }
    return { token: hold.token, heldSinceMs: hold.heldSinceMs };
  }

  markTokenOutdated(token: number): void {
    this.outdatedToken = Math.max(this.outdatedToken, token);
    if (this.hold !== undefined && this.hold.token <= this.outdatedToken) {
      this.lose('outdated');
    }
  }

  /**
   * Handles the store's answer. Returns false if its token must not be used, so that the lease has
   * to be released.
   */
  onLeaseAnswer(answer: LeaseAnswer): boolean {
    if (answer.kind !== 'ours') {
      this.lose('ended');
      return true;
    }
    const { token, sentAtMs, ttlMs } = answer;
    if (token <= this.outdatedToken) {
      return false;
    }
    if (this.hold?.token === token) {
      this.hold = { ...this.hold, sentAtMs, ttlMs };
    } else {
      this.acquire(token, sentAtMs, ttlMs);
    }
    return true;
  }

  /** Ends the hold if the lease expired. */
  checkExpiry(): void {
    this.clockJumps.check();
    if (this.hold !== undefined && this.options.clock.now() >= this.validUntilMs(this.hold)) {
      this.lose('lapsed');
    }
  }

  /** Ends the hold and returns its token. */
  giveUp(): number | undefined {
    const token = this.hold?.token;
    this.lose('given-up');
    return token;
  }

  private acquire(token: number, sentAtMs: Millis, ttlMs: Millis): void {
    this.lose('ended');
    const { clock, reacquireDelayMs, onAcquired } = this.options;
    const now = clock.now();
    const permitsFromMs =
      reacquireDelayMs === 0 ? now : Math.max(now, this.lastCallArrivalMs + reacquireDelayMs);
    this.hold = { token, heldSinceMs: now, sentAtMs, ttlMs, permitsFromMs };
    onAcquired(token, permitsFromMs - now);
  }

  private lose(loss: DutyLoss): void {
    const { hold } = this;
    if (hold !== undefined) {
      this.hold = undefined;
      this.options.onLost(hold.token, loss, this.options.clock.now() - hold.sentAtMs);
    }
  }

  private validUntilMs({ sentAtMs, ttlMs }: Hold): Millis {
    return sentAtMs + ttlMs - this.options.marginMs;
  }
}
