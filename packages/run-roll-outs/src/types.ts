/** Shapes that the parts of a roll-out share. */
import type { RouteSums } from '@limelead/judge-version';
import type { Millis, RollOutOrder } from '@limelead/types';

/** What all VMs together may send to a version that turns out to be bad. */
export interface RollOutBounds {
  /** Part of all requests to the service, 0 to 1. */
  exposureShare: number;
  /** Requests on top. */
  exposureSlack: number;
  /** Time after the 50th bad answer within which nothing more is sent, in milliseconds. */
  rollBackMs: Millis;
}

/** How far a roll-out is; `trial` and `move` are `running` to the operator. */
export type RollOutStep = 'trial' | 'move' | 'completed' | 'rolled_back';

/** What the operator is told. */
export type RollOutState = 'running' | 'completed' | 'rolled_back';

/** The step that all VMs agree on, as it stands in the store. */
export interface AgreedStep {
  /** Revision of the order that it belongs to; a later order has a higher one. */
  order: number;
  version: string;
  step: RollOutStep;
  /** Versions that were in force when the order began; empty where none was there. */
  replaces: string[];
}

/** The agreed step with the revision of its item, for writing under a condition. */
export interface StoredStep {
  agreed: AgreedStep;
  revision: number;
}

/** An order that stands in the store. */
export interface StoredOrder {
  order: RollOutOrder;
  revision: number;
}

/** What one VM tells of a roll-out; all sums are those of its incarnation so far. */
export interface VmEvidence {
  service: string;
  order: number;
  /** Longest time since any VM saw the order, as far as the teller heard. */
  ageMs: Millis;
  /** Whether the teller knows that traffic moves, and sends nothing new to replaced targets. */
  moves: boolean;
  /** Requests of the teller under way at replaced targets. */
  underWay: number;
  sums: RouteSums[];
}

/** What a VM that gathers evidence tells all others. */
export interface AggregatedEvidence {
  service: string;
  order: number;
  ageMs: Millis;
  isBad: boolean;
  sums: RouteSums[];
}
