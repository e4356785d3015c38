/** Reports the calls in progress of one VM at one service to the queue VM when they change. */
import type { CancelTimer, Millis, Random, Timers } from '@limelead/types';
import type { CallsInProgress } from './queue-messages.js';
import type { QueueTargets } from './queue-ports.js';

/** Interval of reports while the service is not queued. */
const SAMPLE_INTERVAL_MS: Millis = 100;
/** The same while it is queued; the queue VM then learns of calls by grants and releases. */
const QUEUED_REPORT_INTERVAL_MS: Millis = 300;

/** Dependencies of `CallReporter`. */
export interface CallReporterOptions {
  service: string;
  targets: QueueTargets;
  timers: Timers;
  random: Random;
  isQueued(): boolean;
  /** Number of the last message of grants of the queue VM. */
  readReceived(): number;
  /** Determines the queue VM, which may have changed. */
  contactQueueVm(): void;
  /** Sends a report to the queue VM. */
  send(inFlight: CallsInProgress, received: number): void;
}

/** Samples the calls in progress while there are any, and reports changes. */
export default class CallReporter {
  private cancelTimer: CancelTimer | undefined;
  private lastReport = serialise([], 0);

  constructor(private readonly options: CallReporterOptions) {}

  /** A call started or ended. The first sample is at a random time, so that short calls count as they should. */
  onChange(): void {
    const { timers, random } = this.options;
    this.cancelTimer ??= timers.after(this.intervalMs * random.next(), () => this.sample());
  }

  /** Handles that the queue VM is another one, which knows nothing. */
  reset(): void {
    this.lastReport = serialise([], 0);
  }

  /** Sends the calls in progress unless the queue VM knows them; returns their number. */
  report(): number {
    const { service, targets } = this.options;
    const inFlight: CallsInProgress = targets
      .list(service)
      .filter((target) => target.inFlight > 0)
      .map((target) => [target.id, target.inFlight]);
    const received = this.options.readReceived();
    const report = serialise(inFlight, received);
    if (report !== this.lastReport) {
      this.lastReport = report;
      this.options.send(inFlight, received);
    }
    return inFlight.reduce((sum, [, calls]) => sum + calls, 0);
  }

  private get intervalMs(): Millis {
    return this.options.isQueued() ? QUEUED_REPORT_INTERVAL_MS : SAMPLE_INTERVAL_MS;
  }

  private sample(): void {
    this.options.contactQueueVm();
    const calls = this.report();
    this.cancelTimer =
      calls > 0 ? this.options.timers.after(this.intervalMs, () => this.sample()) : undefined;
  }
}

function serialise(inFlight: CallsInProgress, received: number): string {
  return JSON.stringify([inFlight, received]);
}
