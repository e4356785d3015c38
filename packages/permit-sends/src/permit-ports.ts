/** Interfaces to the fleet and its targets that the rate limiter depends on. */
import type { LimitUpdate } from './limit-table.js';
import type { PermitMessage } from './permit-messages.js';

/** The VMs of the fleet. */
export interface PermitFleet {
  self: string;
  /** Number of VMs that are considered running, including this one. */
  countVms(): number;
  /** Number of those that are linked to this VM, including itself. */
  countReachableVms(): number;
  /** The VM that grants the permits of a service for all VMs; undefined if it can't be reached. */
  chooseGrantor(service: string): string | undefined;
  send(vm: string, message: PermitMessage): void;
}

/** The VMs of the fleet, and the gossip of limits. */
export interface LimitFleet extends PermitFleet {
  /** Sends updates to all peers except the one that they came from. */
  publishLimits(updates: LimitUpdate[], from?: string): void;
  /** Sends newer updates to a peer that sent outdated ones. */
  sendLimitCorrection(vm: string, updates: LimitUpdate[]): void;
}

/** The targets known to this VM. */
export interface PermitTargets {
  /** Service of a target; undefined if the target is unknown. */
  serviceOf(target: string): string | undefined;
  /** Targets of a service that accept requests. */
  listUsable(service: string): readonly string[];
}
