/**
 * Holds losses of targets back until this VM has connected to another target. A VM that reaches no
 * target would otherwise tell its peers that all targets are lost.
 */
import type { CancelTimer, Millis, ServiceTarget, Timers } from '@limelead/types';

/** Longest delay of a loss, if nothing connects and the service is not out of reach. */
const MAX_DELAY_MS: Millis = 1_000;

/** Dependencies of `HeldLosses`. */
export interface HeldLossesOptions<Loss> {
  timers: Timers;
  isReached(service: string): boolean;
  /** Whether the target failed to connect and nothing has connected to its service since. */
  isDoubtful(target: ServiceTarget): boolean;
  publish(id: string, loss: Loss): void;
}

interface HeldLoss<Loss> {
  loss: Loss;
  service: string;
  cancelTimer: CancelTimer;
}

/** The held losses of one VM, by target. */
export default class HeldLosses<Loss> {
  private readonly held = new Map<string, HeldLoss<Loss>>();

  constructor(private readonly options: HeldLossesOptions<Loss>) {}

  /** Publishes a loss, holds it back or drops it. */
  record(target: ServiceTarget, loss: Loss): void {
    const { timers, isReached, isDoubtful, publish } = this.options;
    const { id, service } = target;
    if (!isReached(service)) {
      return;
    }
    if (!isDoubtful(target)) {
      publish(id, loss);
    } else if (!this.held.has(id)) {
      const cancelTimer = timers.after(MAX_DELAY_MS, () => this.release(id));
      this.held.set(id, { loss, service, cancelTimer });
    }
  }

  /** Publishes the losses of a service, to which this VM has connected. */
  onConnected(service: string): void {
    this.listHeld(service).forEach((id) => this.release(id));
  }

  /** Drops the losses of a service, which is out of reach. */
  onOutOfReach(service: string): void {
    for (const id of this.listHeld(service)) {
      this.held.get(id)?.cancelTimer();
      this.held.delete(id);
    }
  }

  private listHeld(service: string): string[] {
    return [...this.held].filter(([, held]) => held.service === service).map(([id]) => id);
  }

  private release(id: string): void {
    const held = this.held.get(id);
    if (held !== undefined) {
      this.held.delete(id);
      held.cancelTimer();
      this.options.publish(id, held.loss);
    }
  }
}
