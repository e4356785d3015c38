/** Notices that the queue VM does not answer, so that a VM serves its calls on its own meanwhile. */
import type { RateLimitedLog } from '@limelead/decision-log';
import type { CancelTimer, Millis, Timers } from '@limelead/types';
import type { QueueFleet } from './queue-ports.js';

/** Time for an answer: many round trips between failure domains. */
const ANSWER_TIMEOUT_MS: Millis = 100;

/** Dependencies of `AnswerWatch`. */
export interface AnswerWatchOptions {
  service: string;
  fleet: Pick<QueueFleet, 'self' | 'countVms'>;
  timers: Timers;
  logIsolation: RateLimitedLog;
  /** The VM is on its own from now on. */
  onIsolated(): void;
}

/** Whether one VM is on its own. */
export default class AnswerWatch {
  /** True while the queue VM does not answer. */
  isIsolated = false;
  private cancelTimeout: CancelTimer | undefined;

  constructor(private readonly options: AnswerWatchOptions) {}

  /** Whether an answer is missing. */
  get isUnanswered(): boolean {
    return this.isIsolated || this.cancelTimeout !== undefined;
  }

  /** A request was sent. This VM answers itself at once, also if it just became the queue VM. */
  onAsked(vm: string): void {
    if (vm === this.options.fleet.self) {
      this.onAnswered();
      return;
    }
    this.cancelTimeout ??= this.options.timers.after(ANSWER_TIMEOUT_MS, () => {
      this.cancelTimeout = undefined;
      this.onUnanswered(vm);
    });
  }

  /** The queue VM answered. */
  onAnswered(): void {
    this.stopTimeout();
    if (this.isIsolated) {
      this.isIsolated = false;
      this.options.logIsolation({ service: this.options.service, isAlone: false });
    }
  }

  /** The queue VM can't be reached, or did not answer in time. */
  onUnanswered(queueVm: string | undefined): void {
    if (!this.isIsolated) {
      const { service, fleet, logIsolation } = this.options;
      this.isIsolated = true;
      logIsolation({ service, queueVm, isAlone: true, vms: fleet.countVms() });
      this.options.onIsolated();
    }
  }

  /** The service is not queued any more. */
  reset(): void {
    this.stopTimeout();
    this.isIsolated = false;
  }

  private stopTimeout(): void {
    this.cancelTimeout?.();
    this.cancelTimeout = undefined;
  }
}
