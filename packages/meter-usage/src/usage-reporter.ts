/**
 * Settles and reports usage window by window while this VM holds the duty. Counts are settled in
 * the store before they are reported, so a later holder sends identical ones.
 */
import type { PortFault } from '@limelead/errors';
import type { Duty, DutyPermit } from '@limelead/hold-duty';
import type { DutyAnswer, DutyPlatform } from '@limelead/ports';
import type { Clock, Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import planWindows, { findLastDueWindow, type SkippedWindows } from './plan-windows.js';
import type UsageRecord from './usage-record.js';
import type { StoredUsage, SettledWindow } from './usage-record.js';

/** Time until a report has arrived or is lost; its sender waits this long for the answer. */
const REPORT_TIMEOUT_MS = 1_000;
/** Backoff after the first failed call; doubles with each further failure. */
const MIN_BACKOFF_MS = 300;
/** Maximum backoff; short enough to report a window in time once the platform is back. */
const MAX_BACKOFF_MS = 2_000;
/**
 * Time without an answer of the platform after which the duty is left to another VM, early enough
 * to report the window in time.
 */
const UNREACHABLE_AFTER_MS = 3_500;
/** Number of attempts for a report that the platform calls invalid. */
const MAX_INVALID_ATTEMPTS = 3;

/** Dependencies of a reporter. */
export interface UsageReporterOptions {
  duty: Duty;
  platform: DutyPlatform;
  record: UsageRecord;
  /** Steady clock. */
  clock: Clock;
  /** True time in milliseconds since 1970. */
  trueTime: Clock;
  windowMs: Millis;
  /** Time from the end of a window until its counts are settled. */
  settleAfterMs: Millis;
  /** Returns the requests of each organisation in a window, over all VMs. */
  sum(window: number): Map<string, number>;
  /**
   * Whether reports of other VMs since this VM acquired the duty are incomplete, because it is
   * isolated from most of them. Nothing is settled meanwhile.
   */
  isIsolated(heldSinceMs: Millis): boolean;
  /** Returns the first window that was counted from its start. */
  readCountedFrom(): number;
  /** Called when the platform answered none of this VM's reports for a while. */
  onPlatformUnreachable(): void;
  events: UsageEvents;
}

/** Events of a reporter. */
export interface UsageEvents {
  onSettled(settled: SettledWindow, token: number): void;
  /**
   * @param afterMs time since the end of the window
   */
  onReported(settled: SettledWindow, token: number, afterMs: Millis): void;
  onSkipped(skipped: SkippedWindows): void;
  /** Called for an unreadable stored item; windows up to `leftOutUpTo` are not reported. */
  onUnreadable(revision: number, leftOutUpTo: number): void;
  /** Called when the platform repeatedly rejected a window. */
  onGivenUp(window: number): void;
  onCallFailed(call: 'read' | 'settle' | 'report', window: number | undefined, why: string): void;
}

interface StoredUsageByToken extends StoredUsage {
  token: number;
}

/** Settles and reports usage; called at intervals. */
export default class UsageReporter {
  /** Stored usage as known under the token. */
  private stored: StoredUsageByToken | undefined;
  private retryAtMs: Millis = -Infinity;
  private failures = 0;
  private invalidAttempts = 0;
  /** When the first of the reports without an answer was sent. */
  private unansweredSinceMs: Millis | undefined;
  private isBusy = false;

  constructor(private readonly options: UsageReporterOptions) {}

  /** Performs the next due step; does nothing unless this VM holds the duty. */
  async reportDue(): Promise<void> {
    const { duty, clock } = this.options;
    if (this.isBusy || clock.now() < this.retryAtMs) {
      return;
    }
    const permit = duty.permit(0);
    if (permit === undefined) {
      return;
    }
    this.isBusy = true;
    try {
      await this.performStep(permit);
    } finally {
      this.isBusy = false;
    }
  }

  private async performStep({ token, heldSinceMs }: DutyPermit): Promise<void> {
    const { stored } = this;
    if (stored?.token !== token) {
      await this.read(token);
    } else if (stored.settled !== undefined && stored.settled.window > (stored.doneUpTo ?? -1)) {
      await this.report(stored, stored.settled);
    } else if (!this.options.isIsolated(heldSinceMs)) {
      await this.planNext(stored);
    }
  }

  private async read(token: number): Promise<void> {
    const record = await this.options.record.read();
    if (E.isLeft(record)) {
      this.onFailure('read', undefined, describe(record.left));
      return;
    }
    // A read does not reset the backoff, since each refused write is followed by a read, and the
    // store may accept only reads.
    this.stored = { token, ...this.skipUnreadable(record.right) };
  }

  /** Skips all windows that may have been settled in the unreadable item. */
  private skipUnreadable(record: StoredUsage): StoredUsage {
    if (record.isUnreadable === undefined) {
      return record;
    }
    const { trueTime, windowMs, settleAfterMs, events } = this.options;
    const doneUpTo = findLastDueWindow({ nowMs: trueTime.now(), windowMs, settleAfterMs }) - 1;
    events.onUnreadable(record.revision, doneUpTo);
    return { revision: record.revision, doneUpTo };
  }

  private async planNext(stored: StoredUsageByToken): Promise<void> {
    const { trueTime, windowMs, settleAfterMs, readCountedFrom, events } = this.options;
    const { skip, next } = planWindows({
      nowMs: trueTime.now(),
      windowMs,
      settleAfterMs,
      doneUpTo: stored.doneUpTo,
      countedFrom: readCountedFrom(),
    });
    if (skip !== undefined) {
      this.stored = { ...stored, doneUpTo: skip.to };
      events.onSkipped(skip);
    } else if (next !== undefined) {
      await this.settle(stored, next);
    }
  }

  private async settle(stored: StoredUsageByToken, window: number): Promise<void> {
    const { record, sum, events } = this.options;
    const settled = { window, counts: [...sum(window)] };
    const outcome = await record.settle(stored.token, stored, settled);
    if (E.isRight(outcome) && outcome.right.kind === 'written') {
      this.stored = { ...stored, revision: outcome.right.revision, settled };
      this.failures = 0;
      events.onSettled(settled, stored.token);
      return;
    }
    // The write may still be carried out, so the stored item is read again.
    this.stored = undefined;
    const why = E.isLeft(outcome) ? describe(outcome.left) : outcome.right.kind;
    this.onFailure('settle', window, why);
  }

  private async report(stored: StoredUsageByToken, settled: SettledWindow): Promise<void> {
    const { duty, platform, clock } = this.options;
    const { window } = settled;
    const counts = new Map(settled.counts);
    // Checked last, since the process may have been paused after settling.
    const permit = duty.permit(REPORT_TIMEOUT_MS);
    if (permit?.token !== stored.token) {
      return;
    }
    const credentials = { holder: duty.holder, token: permit.token };
    const sentAtMs = clock.now();
    const answer = await platform.reportUsage(credentials, { window, counts })();
    if (E.isLeft(answer)) {
      this.onFailure('report', window, describe(answer.left));
      this.recordUnanswered(sentAtMs);
    } else {
      this.unansweredSinceMs = undefined;
      this.handleAnswer(answer.right, stored, settled);
    }
  }

  private handleAnswer(
    answer: DutyAnswer,
    stored: StoredUsageByToken,
    settled: SettledWindow,
  ): void {
    const { duty, trueTime, windowMs, events } = this.options;
    const { window } = settled;
    if (answer === 'taken') {
      this.completeWindow(stored, window);
      events.onReported(settled, stored.token, trueTime.now() - (window + 1) * windowMs);
      return;
    }
    this.onFailure('report', window, answer);
    if (answer === 'refused') {
      duty.markTokenOutdated(stored.token);
    } else if (answer === 'invalid') {
      this.invalidAttempts += 1;
      if (this.invalidAttempts >= MAX_INVALID_ATTEMPTS) {
        this.completeWindow(stored, window);
        events.onGivenUp(window);
      }
    }
  }

  private recordUnanswered(sentAtMs: Millis): void {
    this.unansweredSinceMs ??= sentAtMs;
    if (this.options.clock.now() - this.unansweredSinceMs >= UNREACHABLE_AFTER_MS) {
      this.unansweredSinceMs = undefined;
      this.options.onPlatformUnreachable();
    }
  }

  private completeWindow(stored: StoredUsageByToken, window: number): void {
    this.stored = { ...stored, doneUpTo: window };
    this.invalidAttempts = 0;
    this.failures = 0;
  }

  private onFailure(
    call: 'read' | 'settle' | 'report',
    window: number | undefined,
    why: string,
  ): void {
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.failures);
    this.failures += 1;
    this.retryAtMs = this.options.clock.now() + backoffMs;
    this.options.events.onCallFailed(call, window, why);
  }
}

function describe({ reason, sent, message }: PortFault): string {
  return `${reason}, sent ${sent}: ${message}`;
}
