/** Grants permits at their time. */
import type { CancelTimer, Clock, Millis, Random, Timers } from '@limelead/types';
import PermitGrantor, { type PermitAsk, type PermitDecision } from './permit-grantor.js';

/** What it needs. */
export interface TimedGrantorOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  /** When the first permit of a target is due, in times between two. */
  drawFirst(): number;
  /** Permits were granted, or requests wait in vain. */
  onDecision(decision: PermitDecision): void;
}

/** Decides whenever a permit is due or something changed. */
export default class TimedGrantor {
  private readonly grantor: PermitGrantor;
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly options: TimedGrantorOptions) {
    this.grantor = new PermitGrantor(options);
  }

  /** Requests that wait here, of all VMs. */
  get waiting(): number {
    return this.grantor.waiting;
  }

  /** Takes the targets that name limits, with the permits a second that are granted here. */
  setRates(rates: ReadonlyMap<string, number>): void {
    this.grantor.setRates(rates, this.now);
  }

  /** Nobody knows what was granted elsewhere in the meantime: no permit is due at once. */
  restart(): void {
    this.grantor.restart(this.now);
  }

  /** A VM asks; what it asked for before is forgotten. */
  take(ask: PermitAsk): void {
    this.grantor.take(ask, this.now);
  }

  /** A VM had no use for a permit. */
  giveBack(vm: string, target: string): void {
    this.grantor.giveBack(vm, target);
    this.decide();
  }

  /** A VM is gone, or asks here no more. */
  forget(vm: string): void {
    this.grantor.forget(vm);
  }

  /** Grants what is due now, and the rest in its time. */
  decide(): void {
    const decision = this.grantor.decide(this.now);
    this.cancelTimer?.();
    const { nextAtMs } = decision;
    if (Number.isFinite(nextAtMs)) {
      const delayMs = Math.max(1, Math.ceil(nextAtMs - this.now));
      this.cancelTimer = this.options.timers.after(delayMs, () => this.decide());
    }
    this.options.onDecision(decision);
  }

  private get now(): Millis {
    return this.options.clock.now();
  }
}
