/** Lets suspected requests to targets one at a time, as far as VMs hear of each other's trials. */
import type { CancelTimer, Clock, Millis, Random, Timers } from '@limelead/types';
import { randomUUID } from 'node:crypto';
import type { Verdict } from './case-book.js';
import type { RequestIdentity } from './identify-request.js';
import type { TrialNotice } from './news.js';

/**
 * A trial of which nothing is heard for this long is taken to be over, in milliseconds: its VM
 * may be gone. Prompts of the longest kind are read within five seconds.
 */
const TRIAL_LAPSES_MS = 6_000;
/**
 * VMs that wait for the same trial begin the next one at a random moment, this far apart on
 * the mean, in milliseconds: news of a trial reach a neighbour in two, and are passed on at once.
 */
const SPREAD_PER_VM_MS = 5;

/** What became of asking. */
export type Admission = 'go' | 'go-alone' | 'refuse';

/** What trials need. */
export interface TrialsOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  countVms(): number;
  judge(request: RequestIdentity): Verdict;
  /** A trial of this VM began or is over. */
  tell(notice: TrialNotice): void;
}

interface Trial {
  request: RequestIdentity;
  isOwn: boolean;
  beganAtMs: Millis;
  isOver: boolean;
}

interface Waiter {
  receive(admission: Admission): void;
  cancelTimer: CancelTimer;
}

/** Holds the trials that are under way, and the requests that wait for them. */
export default class Trials {
  /** By name, in the order in which they were heard of; those that are over until they would lapse. */
  private readonly known = new Map<string, Trial>();
  private readonly waiters = new Map<RequestIdentity, Set<Waiter>>();

  constructor(private readonly options: TrialsOptions) {}

  /** Requests that wait for a trial. */
  get waiting(): number {
    return [...this.waiters.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** Answers at once where the request is clear or refused, else when it is its turn. */
  ask(request: RequestIdentity, receive: (admission: Admission) => void): CancelTimer {
    const admission = this.admitAtOnce(request);
    if (admission !== undefined) {
      receive(admission);
      return () => undefined;
    }
    const waiter: Waiter = { receive, cancelTimer: () => undefined };
    const waiting = this.waiters.get(request) ?? new Set();
    this.waiters.set(request, waiting.add(waiter));
    this.schedule(request, waiter, this.drawDelay());
    return () => this.remove(request, waiter);
  }

  /** What is known of a request changed. */
  wake(request: RequestIdentity): void {
    const isDecided = this.admitAtOnce(request) !== undefined;
    for (const waiter of [...(this.waiters.get(request) ?? [])]) {
      this.schedule(request, waiter, isDecided ? 0 : this.drawDelay());
    }
  }

  /** A trial of this VM is over, whatever came of it. */
  end(request: RequestIdentity): void {
    for (const [trial, one] of this.known) {
      if (one.request === request && one.isOwn && !one.isOver) {
        one.isOver = true;
        this.options.tell({ request, trial, isOver: true });
      }
    }
    this.wake(request);
  }

  /** Another VM tells of a trial; true where that is news. */
  hear({ request, trial, isOver }: TrialNotice): boolean {
    const known = this.known.get(trial);
    if (known !== undefined && (known.isOver || !isOver)) {
      return false;
    }
    if (known === undefined) {
      this.begin(trial, { request, isOwn: false, isOver });
    } else {
      known.isOver = true;
    }
    if (isOver) {
      this.wake(request);
    }
    return true;
  }

  private begin(name: string, trial: Omit<Trial, 'beganAtMs'>): void {
    this.forgetLapsed();
    this.known.set(name, { ...trial, beganAtMs: this.options.clock.now() });
  }

  private admitAtOnce(request: RequestIdentity): Admission | undefined {
    switch (this.options.judge(request)) {
      case 'clear':
        return 'go';
      case 'quarantined':
        return 'refuse';
      case 'suspected':
        return undefined;
    }
  }

  private decide(request: RequestIdentity, waiter: Waiter): void {
    const admission = this.admitAtOnce(request);
    if (admission !== undefined) {
      this.remove(request, waiter);
      waiter.receive(admission);
      return;
    }
    const leftMs = this.timeLeft(request);
    if (leftMs > 0) {
      this.schedule(request, waiter, leftMs);
      return;
    }
    this.remove(request, waiter);
    const trial = randomUUID();
    this.begin(trial, { request, isOwn: true, isOver: false });
    this.options.tell({ request, trial, isOver: false });
    waiter.receive('go-alone');
  }

  private forgetLapsed(): void {
    for (const [name, trial] of this.known) {
      if (this.timeUntilLapse(trial) > 0) {
        return;
      }
      this.known.delete(name);
    }
  }

  /** Time until the trials of a request that are under way lapse; 0 where there is none. */
  private timeLeft(request: RequestIdentity): Millis {
    const trials = [...this.known.values()].filter((one) => one.request === request && !one.isOver);
    return Math.max(0, ...trials.map((trial) => this.timeUntilLapse(trial)));
  }

  private timeUntilLapse({ beganAtMs }: Trial): Millis {
    return Math.max(0, beganAtMs + TRIAL_LAPSES_MS - this.options.clock.now());
  }

  private drawDelay(): Millis {
    const { countVms, random } = this.options;
    return random.next() * countVms() * SPREAD_PER_VM_MS;
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
