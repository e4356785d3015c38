/**
 * Decides when the calls of a service wait in the shared queue. Only a service whose slots are few
 * for the number of VMs is queued, and only while its calls approach its slots, so that other
 * services and light load need no messages for a call.
 */
import type { Millis } from '@limelead/types';

/** With more slots for each VM, the VMs rarely meet at one target. */
const MAX_SLOTS_PER_VM = 4;
/** Shares of the slots in progress at which queueing starts and below which it ends. */
const START_SHARE = 0.7;
const END_SHARE = 0.5;
/** Time constant of the mean calls in progress: a burst that fits into the slots starts no queue. */
const SMOOTHING_MS: Millis = 150;
/** Time below the end share after which queueing ends. */
const END_AFTER_MS: Millis = 2_000;

/** Whether a service has few slots for the number of VMs. A VM alone needs no queue beside its own. */
export function hasFewSlots(slots: number, vms: number): boolean {
  return vms > 1 && slots < MAX_SLOTS_PER_VM * vms;
}

/** Switches the queue of one service. */
export default class QueueSwitch {
  private lowSinceMs: Millis | undefined;
  private mean = 0;
  private updatedAtMs: Millis = -Infinity;

  constructor(public isOn = false) {}

  /**
   * Updates the state. Called at each change and at regular intervals.
   * @param slots slots of all usable targets
   * @param inProgress calls in progress and waiting, of all VMs
   * @param isForced true if calls need places whatever the load
   * @returns true if the state changed
   */
  update(slots: number, vms: number, inProgress: number, now: Millis, isForced = false): boolean {
    const share = Math.exp(-(now - this.updatedAtMs) / SMOOTHING_MS);
    this.mean = inProgress + (this.mean - inProgress) * share;
    this.updatedAtMs = now;
    if (slots === 0) {
      // All targets are down for a moment; the state is needed when they return.
      return false;
    }
    if (isForced) {
      return this.change(true);
    }
    if (!hasFewSlots(slots, vms)) {
      return this.change(false);
    }
    if (!this.isOn) {
      return this.change(this.mean >= START_SHARE * slots);
    }
    this.lowSinceMs = this.mean < END_SHARE * slots ? (this.lowSinceMs ?? now) : undefined;
    return this.change(this.lowSinceMs === undefined || now - this.lowSinceMs < END_AFTER_MS);
  }

  private change(isOn: boolean): boolean {
    const isChanged = this.isOn !== isOn;
    this.isOn = isOn;
    if (isChanged) {
      this.lowSinceMs = undefined;
    }
    return isChanged;
  }
}
