/** Counts the attempts of one VM for one service against the retry budget that all VMs share. */
import type { Millis } from '@limelead/types';
import AttemptWindow from './attempt-window.js';

/** Default share of the budget that is used; the rest is a reserve, since each VM counts on its own. */
const USABLE_SHARE = 0.8;
/** With fewer retries left, a VM asks its peers to lend some. */
const LOW_RETRIES = 1;
/** Smallest fraction of a retry that is lent; less is not worth a message. */
const MIN_LENT_RETRIES = 0.25;
/** Tolerance for rounding errors in sums of fractions. */
const ROUNDING_TOLERANCE = 1e-9;
/** Lifetime of borrowed retries as a share of the window in which their lender counts them. */
const BORROWED_TTL_SHARE = 0.5;

/** Limits for all VMs together. */
export interface RetryBudgetLimits {
  /** Retries allowed per first attempt. */
  ratio: number;
  /** Additional retries allowed in each window. */
  slack: number;
  windowMs: number;
}

/** Own retries of a VM that are available at a time. */
export interface AvailableAt {
  atMs: Millis;
  available: number;
}

/** First time from which `wanted` retries are available; undefined if the forecast has none. */
export function findAvailableAt(
  forecast: readonly AvailableAt[],
  wanted: number,
): Millis | undefined {
  return forecast.find(({ available }) => available >= wanted - ROUNDING_TOLERANCE)?.atMs;
}

interface BorrowedRetries {
  retries: number;
  receivedAtMs: Millis;
  expiresAtMs: Millis;
}

/** One retry that was taken from the budget: a fraction of the own part, and borrowed fractions. */
export interface HeldRetry {
  own: number;
  borrowed: BorrowedRetries[];
  /** Set while the retry counts as sent; holds it again. */
  undoSent?: () => void;
}

/** Retry budget of one VM for one service. */
export default class RetryBudgetTracker {
  private readonly window: AttemptWindow;
  private borrowed: BorrowedRetries[] = [];
  /** Own fractions of retries that were taken and not sent. */
  private held = 0;
  /** Borrowed fractions of such retries. */
  private readonly heldBorrowed = new Set<BorrowedRetries>();

  /**
   * @param onLow called when few or no retries are left
   * @param usableShare share of the allowed retries that is used
   * @param knownSinceMs time since which all attempts of this VM are recorded; a process that may
   *   have had a predecessor within the window gives its start
   */
  constructor(
    protected limits: RetryBudgetLimits,
    private readonly onLow: () => void = () => undefined,
    private readonly usableShare = USABLE_SHARE,
    knownSinceMs: Millis = -Infinity,
  ) {
    this.window = new AttemptWindow(() => this.limits.windowMs, knownSinceMs);
  }

  /** Changes the limits. Attempts and retries so far still count. */
  changeLimits(limits: RetryBudgetLimits): void {
    this.limits = limits;
  }

  /** Records the first attempt of a request. */
  recordFirstAttempt(now: Millis): void {
    this.window.recordFirstAttempt(now);
  }

  /**
   * Takes one retry from the budget; false if it is exhausted.
   * @param vms number of VMs that share the slack
   */
  trySpend(now: Millis, vms: number): boolean {
    const retry = this.take(now, vms);
    if (retry !== undefined) {
      this.recordSent(retry, now);
    }
    this.reportIfLow(now, vms);
    return retry !== undefined;
  }

  /**
   * Takes one retry, first from borrowed fractions, since they expire, then from the own part. It
   * counts as spent until it is released. Undefined if the budget is exhausted. Fractions are
   * combined because requests waited up to 5 s while 0.6 of an own and 0.5 of a borrowed retry were
   * unused.
   */
  take(now: Millis, vms: number): HeldRetry | undefined {
    if (!this.canTake(now, vms)) {
      return undefined;
    }
    const fromBorrowed = Math.min(1, this.countBorrowed(now));
    const own = 1 - fromBorrowed;
    this.held += own;
    const borrowed = this.takeBorrowed(fromBorrowed);
    borrowed.forEach((fraction) => this.heldBorrowed.add(fraction));
    return { own, borrowed };
  }

  /** Whether `take` would return a retry. */
  protected canTake(now: Millis, vms: number): boolean {
    const own = 1 - Math.min(1, this.countBorrowed(now));
    return (
      own <= ROUNDING_TOLERANCE || this.countOwnAvailable(now, vms) >= own - ROUNDING_TOLERANCE
    );
  }

  /** Counts a held retry for a whole window from now on, since its attempt is sent. */
  recordSent(retry: HeldRetry, now: Millis): void {
    const { own, borrowed } = retry;
    this.held -= own;
    this.window.recordRetries(now, own);
    borrowed.forEach((fraction) => this.heldBorrowed.delete(fraction));
    const undoBorrowed = borrowed.map(({ retries, receivedAtMs }) =>
      this.window.recordBorrowed(now, retries, receivedAtMs),
    );
    retry.undoSent = () => {
      this.window.removeRetries(now, own);
      undoBorrowed.forEach((undo) => undo());
      borrowed.forEach((fraction) => this.heldBorrowed.add(fraction));
      this.held += own;
      retry.undoSent = undefined;
    };
  }

  /** Holds a sent retry again, because its attempt reached no target. */
  recordUnsent(retry: HeldRetry): void {
    retry.undoSent?.();
  }

  /** Returns a held retry that is not needed to the budget. */
  release(retry: HeldRetry): void {
    this.held -= retry.own;
    retry.borrowed.forEach((fraction) => this.heldBorrowed.delete(fraction));
    this.borrowed.push(...retry.borrowed);
  }

  /** Returns a spent retry that reached no target to the budget. */
  refund(now: Millis): void {
    this.window.recordRetries(now, -1);
  }

  /**
   * Lends retries to another VM and returns their number, which may be lower than `wanted` or 0.
   * Lends fractions and keeps no reserve: in a large fleet a VM's own part is one retry or less.
   */
  lend(now: Millis, vms: number, wanted: number): number {
    const lent = Math.min(wanted, this.countOwnAvailable(now, vms));
    if (lent < MIN_LENT_RETRIES) {
      return 0;
    }
    this.window.recordRetries(now, lent);
    return lent;
  }

  /** Adds retries that another VM lent. */
  borrow(now: Millis, retries: number): void {
    const expiresAtMs = now + this.limits.windowMs * BORROWED_TTL_SHARE;
    this.borrowed.push({ retries, receivedAtMs: now, expiresAtMs });
  }

  /** Retries that this VM may still spend, including borrowed ones. */
  countAvailable(now: Millis, vms: number): number {
    return this.countOwnAvailable(now, vms) + this.countBorrowed(now);
  }

  /** Retries left in the current window, without borrowed ones. */
  countOwnAvailable(now: Millis, vms: number): number {
    return this.countAllowed(now, vms) - this.window.countRetries(now) - this.countHeld(now);
  }

  /** Retries that this VM may spend in the current window, without borrowed ones. */
  countAllowed(now: Millis, vms: number): number {
    this.window.recordVms(now, vms);
    return this.countAllowedAt(now);
  }

  /** Counts the borrowed retries and drops spent and expired ones. */
  countBorrowed(now: Millis): number {
    this.borrowed = this.borrowed.filter(
      ({ retries, expiresAtMs }) => retries > 0 && expiresAtMs > now,
    );
    return this.borrowed.reduce((total, { retries }) => total + retries, 0);
  }

  /**
   * Own retries that are available at the next bucket boundaries, if no more are spent.
   * @param isSteady true if the number of first attempts per window is assumed to stay
   */
  protected forecast(now: Millis, vms: number, isSteady: boolean): AvailableAt[] {
    const allowedNow = this.countAllowed(now, vms);
    return this.window.listBoundaries(now).map((atMs) => {
      const allowed = isSteady ? allowedNow : this.countAllowedAt(atMs);
      return { atMs, available: allowed - this.window.countRetries(atMs) - this.countHeld(atMs) };
    });
  }

  /** Reports if few retries are left. */
  protected reportIfLow(now: Millis, vms: number): void {
    if (this.countAvailable(now, vms) < LOW_RETRIES) {
      this.onLow();
    }
  }

  /** Retries that are held and that no lender counts any more at a time. */
  private countHeld(atMs: Millis): number {
    let held = this.held;
    for (const { retries, receivedAtMs } of this.heldBorrowed) {
      held += this.window.lenderCountEndsAtMs(receivedAtMs) <= atMs ? retries : 0;
    }
    return held;
  }

  /** Retries allowed in the window that ends at a time, if no first attempts follow. */
  private countAllowedAt(atMs: Millis): number {
    const { ratio, slack } = this.limits;
    // A VM that was lost may have spent its part of the slack within the window, so the parts of
    // the others do not grow before the window has passed.
    const slackPart = slack / this.window.countVms(atMs);
    const firstAttempts = this.window.countFirstAttempts(atMs);
    return this.usableShare * ratio * firstAttempts + this.slackShareAt(atMs) * slackPart;
  }

  /**
   * Share of this VM's part of the slack. A predecessor may have spent the usable share just before
   * its end, so until that has left the window the reserve is released, in proportion to the time
   * since the start: any number of restarts within a window release it once.
   */
  private slackShareAt(atMs: Millis): number {
    const knownShare = this.window.knownShareAt(atMs);
    return knownShare === 1 ? this.usableShare : (1 - this.usableShare) * knownShare;
  }

  /** Takes fractions from the borrowed retries, the oldest first. */
  private takeBorrowed(retries: number): BorrowedRetries[] {
    let missing = retries;
    return this.borrowed.flatMap((borrowed) => {
      const taken = Math.min(missing, borrowed.retries);
      borrowed.retries -= taken;
      missing -= taken;
      return taken > 0 ? [{ ...borrowed, retries: taken }] : [];
    });
  }
}
