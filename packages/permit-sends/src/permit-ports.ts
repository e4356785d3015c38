/** What permits need of the fleet and of its targets. */
import type { LimitFact } from './limit-book.js';
import type { PermitMessage } from './permit-messages.js';

/** The VMs of the fleet. */
export interface PermitFleet {
  self: string;
  /** VMs that are believed to run, this one included. */
  countVms(): number;
  /** Those of them that can ask this one, itself included. */
  countReached(): number;
  /** The VM that grants the permits of a service for all; undefined where it can't be reached. */
  chooseGrantor(service: string): string | undefined;
  send(vm: string, message: PermitMessage): void;
}

/** The VMs of the fleet, and how news of limits reach them. */
export interface LimitFleet extends PermitFleet {
  /** Tells other VMs, the one that told it aside. */
  publishLimits(facts: LimitFact[], from?: string): void;
  /** Tells one VM. */
  sendLimitCorrection(vm: string, facts: LimitFact[]): void;
}

/** The targets, as this VM knows them. */
export interface PermitTargets {
  /** Service of a target; undefined where it is not known. */
  serviceOf(target: string): string | undefined;
  /** Targets of a service that take work. */
  listUsable(service: string): readonly string[];
}
