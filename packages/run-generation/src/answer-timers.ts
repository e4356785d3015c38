/** Timers of one answer: its deadline and the keep-alives to its caller. */
import type { CancelTimer, Millis } from '@limelead/types';
import type { GenerationDependencies } from './dependencies.js';

/** Time without a message after which a keep-alive is sent to the caller. */
const KEEP_ALIVE_INTERVAL_MS = 500;

/** Called when a timer is due. */
export interface AnswerTimerEvents {
  onDeadline(): void;
  onKeepAliveDue(): void;
}

/** Runs from `start` to `stop`. */
export default class AnswerTimers {
  private cancelDeadline: CancelTimer = () => undefined;
  private cancelKeepAlive: CancelTimer = () => undefined;
  private lastSentMs: Millis;

  constructor(
    private readonly dependencies: Pick<GenerationDependencies, 'clock' | 'timers'>,
    private readonly events: AnswerTimerEvents,
  ) {
    this.lastSentMs = dependencies.clock.now();
  }

  start(deadlineAtMs: Millis | undefined): void {
    const { clock, timers } = this.dependencies;
    if (deadlineAtMs !== undefined) {
      const leftMs = Math.max(0, deadlineAtMs - clock.now());
      this.cancelDeadline = timers.after(leftMs, () => this.events.onDeadline());
    }
    this.scheduleKeepAlive();
  }

  stop(): void {
    this.cancelDeadline();
    this.cancelKeepAlive();
  }

  /** Records that a message was sent to the caller. */
  recordSent(): void {
    this.lastSentMs = this.dependencies.clock.now();
  }

  /** Sends keep-alives from one timer that checks the time of the last message. */
  private scheduleKeepAlive(): void {
    const { timers, clock } = this.dependencies;
    const dueInMs = this.lastSentMs + KEEP_ALIVE_INTERVAL_MS - clock.now();
    this.cancelKeepAlive = timers.after(Math.max(dueInMs, KEEP_ALIVE_INTERVAL_MS / 2), () => {
      if (clock.now() - this.lastSentMs >= KEEP_ALIVE_INTERVAL_MS) {
        this.events.onKeepAliveDue();
      }
      this.scheduleKeepAlive();
    });
  }
}
