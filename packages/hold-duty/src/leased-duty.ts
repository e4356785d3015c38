/** What this VM knows for certain about its hold on a duty, and which calls that allows. */
import type { Clock, Millis } from '@limelead/types';
import type { Duty, DutyPermit } from './duty.js';
import type { LeaseAnswer } from './duty-lease.js';
import ClockJumpDetector from './clock-jump-detector.js';

/** Why a duty was lost. */
export type DutyLoss =
  /** No renewal was answered for as long as the lease lasts. */
  | 'lapsed'
  /** The store gave it to another, or ended it. */
  | 'ended'
  /** Somebody saw a later holder's token. */
  | 'outdated'
  /** This VM gave it up. */
  | 'given-up';

/** What a held duty needs. */
export interface LeasedDutyOptions {
  holder: string;
  /** Steady. */
  clock: Clock;
  /** Goes on while the VM is suspended, and may be set. */
  timeOfDay: Clock;
  /**
   * Time that has to lie between what this VM did under an earlier token, or may have done
   * before this process started, and what it does next: holders never act in the order
   * A, B, A within it. 0 where nobody asks for that.
   */
  reacquireDelayMs: Millis;
  /** Part of the lease's time that is left unused, for clocks that run at different speeds. */
  marginMs: Millis;
  onAcquired(token: number, mayActInMs: Millis): void;
  onLost(token: number, loss: DutyLoss, leaseAgeMs: Millis): void;
  /** The steady clock may not have counted so much; nothing is done until the lease is confirmed. */
  onClockJump(lostMs: Millis): void;
}

interface Hold extends DutyPermit {
  /** When the last call that was answered left. */
  sentAtMs: Millis;
  ttlMs: Millis;
  actsFromMs: Millis;
}

/** Holds a duty, or does not. */
export default class LeasedDuty implements Duty {
  readonly holder: string;
  private hold: Hold | undefined;
  /** No token up to this one is used any more. */
  private outdatedToken = 0;
  /** When the last call that was permitted has arrived or is lost; at first that of the process before. */
  private quietSinceMs: Millis;
  private readonly lostTime: ClockJumpDetector;

  constructor(private readonly options: LeasedDutyOptions) {
    const { clock, timeOfDay, onClockJump } = options;
    this.lostTime = new ClockJumpDetector(clock, timeOfDay, onClockJump);
    this.holder = options.holder;
    this.quietSinceMs = options.clock.now();
  }

  /** When the lease was last sent a renewal that was answered; undefined where it is not held. */
  get sentAtMs(): Millis | undefined {
    return this.hold?.sentAtMs;
  }

  /** Since when it is held; undefined where it is not. */
  get heldSinceMs(): Millis | undefined {
    return this.hold?.heldSinceMs;
  }

  /** When all that was permitted has arrived or is lost. */
  get lastArrivalMs(): Millis {
    return this.quietSinceMs;
  }

  permit(arrivalMs: Millis): DutyPermit | undefined {
    const { hold } = this;
    const now = this.options.clock.now();
    if (hold === undefined || now < hold.actsFromMs) {
      return undefined;
    }
    // By the steady clock alone a VM that was suspended acted beside the next holder.
    const arrivesAtMs = now + arrivalMs + this.lostTime.jumpedSince(hold.sentAtMs);
    if (arrivesAtMs > this.validUntilMs(hold)) {
      return undefined;
    }
    if (arrivalMs > 0) {
      // A look sends nothing, and would put off this VM's next hold.
      this.quietSinceMs = Math.max(this.quietSinceMs, now + arrivalMs);
    }
    return { token: hold.token, heldSinceMs: hold.heldSinceMs };
  }

  markTokenOutdated(token: number): void {
    this.outdatedToken = Math.max(this.outdatedToken, token);
    if (this.hold !== undefined && this.hold.token <= this.outdatedToken) {
      this.lose('outdated');
    }
  }

  /** The store answered; false where its token may not be used, so that it has to be given back. */
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
      this.take(token, sentAtMs, ttlMs);
    }
    return true;
  }

  /** Time went by; the duty is lost where nothing renewed it. */
  checkExpiry(): void {
    this.lostTime.check();
    if (this.hold !== undefined && this.options.clock.now() >= this.validUntilMs(this.hold)) {
      this.lose('lapsed');
    }
  }

  /** From now on nothing is permitted; gives the token that was held. */
  giveUp(): number | undefined {
    const token = this.hold?.token;
    this.lose('given-up');
    return token;
  }

  private take(token: number, sentAtMs: Millis, ttlMs: Millis): void {
    this.lose('ended');
    const { clock, reacquireDelayMs, onAcquired } = this.options;
    const now = clock.now();
    const actsFromMs =
      reacquireDelayMs === 0 ? now : Math.max(now, this.quietSinceMs + reacquireDelayMs);
    this.hold = { token, heldSinceMs: now, sentAtMs, ttlMs, actsFromMs };
    onAcquired(token, actsFromMs - now);
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
