/** Interfaces to the fleet and its targets that the call queue depends on. */
import type { QueueMessage } from './queue-messages.js';

/** The VMs of the fleet. */
export interface QueueFleet {
  self: string;
  /** Number of VMs that are considered running, including this one. */
  countVms(): number;
  /** The VM that holds the waiting calls of a service; undefined if it can't be reached. */
  chooseQueueVm(service: string): string | undefined;
  send(vm: string, message: QueueMessage): void;
}

/** A target that calls may use. */
export interface QueueTarget {
  id: string;
  slots: number;
  /** True if it is considered down. */
  isSuspected: boolean;
  /** Calls of this VM in progress there. */
  inFlight: number;
  /** Rejections a second that it survives; undefined unless it is brittle. */
  rejectionsPerSecond?: number;
}

/** The targets known to this VM. */
export interface QueueTargets {
  /** Whether the service consists of engines. */
  isEngine(service: string): boolean;
  /** Targets of a service that accept requests. */
  list(service: string): readonly QueueTarget[];
}

/** Slots of the targets that are up. */
export function countSlots(targets: readonly QueueTarget[]): number {
  return targets
    .filter(({ isSuspected }) => !isSuspected)
    .reduce((sum, { slots }) => sum + slots, 0);
}
