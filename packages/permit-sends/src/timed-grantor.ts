/** Runs a `PermitGrantor` on timers. */
import type { CancelTimer, Clock, Millis, Random, Timers } from '@limelead/types';
import PermitGrantor, { type PermitRequest, type PermitDecision } from './permit-grantor.js';

/** Dependencies of `TimedGrantor`. */
export interface TimedGrantorOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Delay of a target's first permit, in intervals between permits. */
  drawFirstDelay(): number;
  /** Called with every decision, even if it grants and refuses nothing. */
  onDecision(decision: PermitDecision): void;
}

/** Decides whenever a permit is due or the caller asks for a decision. */
export default class TimedGrantor {
  private readonly grantor: PermitGrantor;
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly options: TimedGrantorOptions) {
    this.grantor = new PermitGrantor(options);
  }

  /** Waiting requests of all VMs. */
  get waitingCount(): number {
    return this.grantor.waitingCount;
  }

  /** Replaces the limited targets and the permits a second to grant for each. */
  setRates(rates: ReadonlyMap<string, number>): void {
    this.grantor.setRates(rates, this.now);
  }

  /** Makes no permit due at once, since another VM may have granted permits in the meantime. */
  postponeAll(): void {
    this.grantor.postponeAll(this.now);
  }

  /** Replaces the permit request of a VM. */
  setRequest(request: PermitRequest): void {
    this.grantor.setRequest(request, this.now);
  }

  /** Takes back an unused permit and decides again. */
  returnPermit(vm: string, target: string): void {
    this.grantor.returnPermit(vm, target);
    this.decide();
  }

  /** Forgets the permit request and grants of a VM. */
  forget(vm: string): void {
    this.grantor.forget(vm);
  }

  /** Decides now, and schedules the next decision. */
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
