/**
 * Admits suspected requests to targets one at a time, across all VMs as far as their notices
 * arrive.
 */
import type { CancelTimer, Clock, Millis, Random, Timers } from '@limelead/types';
import { randomUUID } from 'node:crypto';
import type { RequestStatus } from './judge-crashes.js';
import type { RequestIdentity } from './identify-request.js';
import type { TrialNotice } from './quarantine-update.js';

/**
 * A trial without a notice of its end counts as ended after this time, in milliseconds: its VM
 * may have failed. Longer than a target takes to read the longest prompts.
 */
const TRIAL_TTL_MS = 6_000;
/**
 * VMs that wait for the same trial start the next one after a random delay of up to this time per
 * VM, in milliseconds, so that a notice can reach the others first.
 */
const MAX_START_DELAY_PER_VM_MS = 5;

/** Result of an admission: send, send as a trial (the only run of its identity), or refuse. */
export type Admission = 'send' | 'send-trial' | 'refuse';

/** Dependencies of `TrialQueue`. */
export interface TrialQueueOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  countVms(): number;
  getStatus(request: RequestIdentity): RequestStatus;
  /** A trial of this VM started or ended. */
  publish(notice: TrialNotice): void;
}

interface Trial {
  request: RequestIdentity;
  isOwn: boolean;
  startedAtMs: Millis;
  isOver: boolean;
}

interface Waiter {
  onAdmission(admission: Admission): void;
  cancelTimer: CancelTimer;
}

/** Trials in progress, and the requests that wait for them. */
export default class TrialQueue {
  /** By id, in the order of their start; ended trials are kept until they expire. */
  private readonly trials = new Map<string, Trial>();
  private readonly waiters = new Map<RequestIdentity, Set<Waiter>>();

  constructor(private readonly options: TrialQueueOptions) {}

  /** Number of requests that wait for a trial. */
  get waitingCount(): number {
    return [...this.waiters.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /**
   * Answers at once if the request is clear or quarantined, otherwise when its trial may start.
   * Returns a function that cancels waiting.
   */
  requestAdmission(request: RequestIdentity, receive: (admission: Admission) => void): CancelTimer {
    const admission = this.admitWithoutTrial(request);
    if (admission !== undefined) {
      receive(admission);
      return () => undefined;
    }
    const waiter: Waiter = { onAdmission: receive, cancelTimer: () => undefined };
    const waiting = this.waiters.get(request) ?? new Set();
    this.waiters.set(request, waiting.add(waiter));
    this.schedule(request, waiter, this.drawDelay());
    return () => this.remove(request, waiter);
  }

  /** Reconsiders waiting requests after the status of a request changed. */
  reevaluate(request: RequestIdentity): void {
    const isDecided = this.admitWithoutTrial(request) !== undefined;
    for (const waiter of [...(this.waiters.get(request) ?? [])]) {
      this.schedule(request, waiter, isDecided ? 0 : this.drawDelay());
    }
  }

  /** Ends this VM's trial of a request. */
  endTrial(request: RequestIdentity): void {
    for (const [id, trial] of this.trials) {
      if (trial.request === request && trial.isOwn && !trial.isOver) {
        trial.isOver = true;
        this.options.publish({ request, trial: id, isOver: true });
      }
    }
    this.reevaluate(request);
  }

  /** Applies a peer's notice; returns true if it is new. */
  onPeerNotice({ request, trial, isOver }: TrialNotice): boolean {
    const known = this.trials.get(trial);
    if (known !== undefined && (known.isOver || !isOver)) {
      return false;
    }
    if (known === undefined) {
      this.addTrial(trial, { request, isOwn: false, isOver });
    } else {
      known.isOver = true;
    }
    if (isOver) {
      this.reevaluate(request);
    }
    return true;
  }

  private addTrial(name: string, trial: Omit<Trial, 'startedAtMs'>): void {
    this.forgetExpired();
    this.trials.set(name, { ...trial, startedAtMs: this.options.clock.now() });
  }

  private admitWithoutTrial(request: RequestIdentity): Admission | undefined {
    switch (this.options.getStatus(request)) {
      case 'clear':
        return 'send';
      case 'quarantined':
        return 'refuse';
      case 'suspected':
        return undefined;
    }
  }

  private decide(request: RequestIdentity, waiter: Waiter): void {
    const admission = this.admitWithoutTrial(request);
    if (admission !== undefined) {
      this.remove(request, waiter);
      waiter.onAdmission(admission);
      return;
    }
    const leftMs = this.trialTimeLeftMs(request);
    if (leftMs > 0) {
      this.schedule(request, waiter, leftMs);
      return;
    }
    this.remove(request, waiter);
    const trial = randomUUID();
    this.addTrial(trial, { request, isOwn: true, isOver: false });
    this.options.publish({ request, trial, isOver: false });
    waiter.onAdmission('send-trial');
  }

  private forgetExpired(): void {
    for (const [name, trial] of this.trials) {
      if (this.timeUntilExpiryMs(trial) > 0) {
        return;
      }
      this.trials.delete(name);
    }
  }

  /** Time until the open trials of a request expire; 0 if there are none. */
  private trialTimeLeftMs(request: RequestIdentity): Millis {
    const trials = [...this.trials.values()].filter(
      (candidate) => candidate.request === request && !candidate.isOver,
    );
    return Math.max(0, ...trials.map((trial) => this.timeUntilExpiryMs(trial)));
  }

  private timeUntilExpiryMs({ startedAtMs }: Trial): Millis {
    return Math.max(0, startedAtMs + TRIAL_TTL_MS - this.options.clock.now());
  }

  private drawDelay(): Millis {
    const { countVms, random } = this.options;
    return random.next() * countVms() * MAX_START_DELAY_PER_VM_MS;
  }

  private schedule(request: RequestIdentity, waiter: Waiter, delayMs: Millis): void {
    waiter.cancelTimer();
    waiter.cancelTimer = this.options.timers.after(delayMs, () => this.decide(request, waiter));
  }

  private remove(request: RequestIdentity, waiter: Waiter): void {
    waiter.cancelTimer();
    const waiting = this.waiters.get(request);
    waiting?.delete(waiter);
    if (waiting?.size === 0) {
      this.waiters.delete(request);
    }
  }
}
