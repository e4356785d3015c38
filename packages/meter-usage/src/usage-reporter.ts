/**
 * Settles and reports the usage of one window after the other while this VM holds the duty.
 * Counts are settled in the store before they are reported: whoever takes the duty over
 * sends the very same.
 */
import type { PortFault } from '@limelead/errors';
import type { Duty, DutyPermit } from '@limelead/hold-duty';
import type { DutyAnswer, DutyPlatform } from '@limelead/ports';
import type { Clock, Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import planWindows, { findLastDueWindow, type SkippedWindows } from './plan-windows.js';
import type UsageRecord from './usage-record.js';
import type { StoredUsage, SettledWindow } from './usage-record.js';

/**
 * Longest time until a report arrived or is lost, in milliseconds: so long its sender waits
 * for the answer, and closes the connection then.
 */
const REPORT_TIMEOUT_MS = 1_000;
/** Pause behind a call that failed; doubled each time, for a platform that is away. */
const MIN_BACKOFF_MS = 300;
/** Longest such pause: with it a window is in time once the platform is back. */
const MAX_BACKOFF_MS = 2_000;
/**
 * Time without any answer of the platform after which another VM may try, in milliseconds:
 * three calls, and time enough is left for a window to come from there before it is due.
 */
const UNREACHABLE_AFTER_MS = 3_500;
/** Times that a report which the platform calls invalid is sent: it may be a bad moment of its own. */
const MAX_INVALID_ATTEMPTS = 3;

/** What a reporter needs. */
export interface UsageReporterOptions {
  duty: Duty;
  platform: DutyPlatform;
  record: UsageRecord;
  /** Steady. */
  clock: Clock;
  /** Gives true time, in milliseconds since 1970. */
  trueTime: Clock;
  windowMs: Millis;
  /** Time from the end of a window until its counts are settled. */
  settleAfterMs: Millis;
  /** Requests of each organisation in a window, as all VMs told them. */
  sum(window: number): Map<string, number>;
  /**
   * Whether what VMs told since this VM took the duty is incomplete, as it has lost its links
   * to most of them: it gives the duty up, and settles nothing meanwhile.
   */
  isIsolated(heldSinceMs: Millis): boolean;
  /** The first window that was counted from its beginning. */
  readCountedFrom(): number;
  /** The platform answered none of this VM's reports for a while. */
  onPlatformUnreachable(): void;
  events: UsageEvents;
}

/** What a reporter tells of. */
export interface UsageEvents {
  onSettled(settled: SettledWindow, token: number): void;
  /** @param afterMs time since the end of the window */
  onReported(settled: SettledWindow, token: number, afterMs: Millis): void;
  onSkipped(skipped: SkippedWindows): void;
  /** The store's item makes no sense; windows up to one are left out. */
  onUnreadable(revision: number, leftOutUpTo: number): void;
  /** The platform did not take a window. */
  onGivenUp(window: number): void;
  onCallFailed(call: 'read' | 'settle' | 'report', window: number | undefined, why: string): void;
}

interface KnownByToken extends StoredUsage {
  token: number;
}

/** Asked at intervals. */
export default class UsageReporter {
  /** What the store holds, as of the hold with that token. */
  private known: KnownByToken | undefined;
  private retryAtMs: Millis = -Infinity;
  private failures = 0;
  private invalid = 0;
  /** When the first report in a row was sent that got no answer. */
  private unansweredSinceMs: Millis | undefined;
  private isBusy = false;

  constructor(private readonly options: UsageReporterOptions) {}

  /** Does what is due next; nothing where this VM does not hold the duty. */
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
      await this.work(permit);
    } finally {
      this.isBusy = false;
    }
  }

  private async work({ token, heldSinceMs }: DutyPermit): Promise<void> {
    const { known } = this;
    if (known?.token !== token) {
      await this.read(token);
    } else if (known.settled !== undefined && known.settled.window > (known.doneUpTo ?? -1)) {
      await this.report(known, known.settled);
    } else if (!this.options.isIsolated(heldSinceMs)) {
      await this.advance(known);
    }
  }

  private async read(token: number): Promise<void> {
    const record = await this.options.record.read();
    if (E.isLeft(record)) {
      this.noteFailure('read', undefined, describe(record.left));
      return;
    }
    // No end of the failures: each refused write is followed by a read, and its pause would
    // never grow where the store takes reads alone.
    this.known = { token, ...this.leaveOutUnreadable(record.right) };
  }

  /** Windows up to the last ripe one may be settled with counts that nobody can read any more. */
  private leaveOutUnreadable(record: StoredUsage): StoredUsage {
    if (record.isUnreadable === undefined) {
      return record;
    }
    const { trueTime, windowMs, settleAfterMs, events } = this.options;
    const doneUpTo = findLastDueWindow({ nowMs: trueTime.now(), windowMs, settleAfterMs }) - 1;
    events.onUnreadable(record.revision, doneUpTo);
    return { revision: record.revision, doneUpTo };
  }

  private async advance(known: KnownByToken): Promise<void> {
    const { trueTime, windowMs, settleAfterMs, readCountedFrom, events } = this.options;
    const { skip, next } = planWindows({
      nowMs: trueTime.now(),
      windowMs,
      settleAfterMs,
      doneUpTo: known.doneUpTo,
      countedFrom: readCountedFrom(),
    });
    if (skip !== undefined) {
      this.known = { ...known, doneUpTo: skip.to };
      events.onSkipped(skip);
    } else if (next !== undefined) {
      await this.settle(known, next);
    }
  }

  private async settle(known: KnownByToken, window: number): Promise<void> {
    const { record, sum, events } = this.options;
    const settled = { window, counts: [...sum(window)] };
    const outcome = await record.settle(known.token, known, settled);
    if (E.isRight(outcome) && outcome.right.kind === 'written') {
      this.known = { ...known, revision: outcome.right.revision, settled };
      this.failures = 0;
      events.onSettled(settled, known.token);
      return;
    }
    // The write may be done, or be done later: what the store holds decides.
    this.known = undefined;
    const why = E.isLeft(outcome) ? describe(outcome.left) : outcome.right.kind;
    this.noteFailure('settle', window, why);
  }

  private async report(known: KnownByToken, settled: SettledWindow): Promise<void> {
    const { duty, platform, clock } = this.options;
    const { window } = settled;
    const counts = new Map(settled.counts);
    // Asked last of all: the process may have stood still since it settled.
    const permit = duty.permit(REPORT_TIMEOUT_MS);
    if (permit?.token !== known.token) {
      return;
    }
    const credentials = { holder: duty.holder, token: permit.token };
    const sentAtMs = clock.now();
    const answer = await platform.reportUsage(credentials, { window, counts })();
    if (E.isLeft(answer)) {
      this.noteFailure('report', window, describe(answer.left));
      this.noteUnanswered(sentAtMs);
    } else {
      this.unansweredSinceMs = undefined;
      this.takeAnswer(answer.right, known, settled);
    }
  }

  private takeAnswer(answer: DutyAnswer, known: KnownByToken, settled: SettledWindow): void {
    const { duty, trueTime, windowMs, events } = this.options;
    const { window } = settled;
    if (answer === 'taken') {
      this.finish(known, window);
      events.onReported(settled, known.token, trueTime.now() - (window + 1) * windowMs);
      return;
    }
    this.noteFailure('report', window, answer);
    if (answer === 'refused') {
      duty.markTokenOutdated(known.token);
    } else if (answer === 'invalid') {
      this.invalid += 1;
      if (this.invalid >= MAX_INVALID_ATTEMPTS) {
        this.finish(known, window);
        events.onGivenUp(window);
      }
    }
  }

  private noteUnanswered(sentAtMs: Millis): void {
    this.unansweredSinceMs ??= sentAtMs;
    if (this.options.clock.now() - this.unansweredSinceMs >= UNREACHABLE_AFTER_MS) {
      this.unansweredSinceMs = undefined;
      this.options.onPlatformUnreachable();
    }
  }

  private finish(known: KnownByToken, window: number): void {
    this.known = { ...known, doneUpTo: window };
    this.invalid = 0;
    this.failures = 0;
  }

  private noteFailure(
    call: 'read' | 'settle' | 'report',
    window: number | undefined,
    why: string,
  ): void {
    const pauseMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.failures);
    this.failures += 1;
    this.retryAtMs = this.options.clock.now() + pauseMs;
    this.options.events.onCallFailed(call, window, why);
  }
}

function describe({ reason, sent, message }: PortFault): string {
  return `${reason}, sent ${sent}: ${message}`;
}
