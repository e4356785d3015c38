/** Types shared by the modules of this package. */
import type { RouteOutcomeCounts } from '@limelead/judge-version';
import type { Millis, RollOutOrder } from '@limelead/types';

/** Limits on the traffic that all VMs together send to a version that turns out to be bad. */
export interface RollOutBounds {
  /** Share of all requests to the service, 0 to 1. */
  exposureShare: number;
  /** Number of requests allowed in addition to the share. */
  exposureSlack: number;
  /** Time after the 50th bad answer by which the version receives no more requests. */
  rollBackMs: Millis;
}

/** Step of a roll-out; operators see `trial` and `move` as `running`. */
export type RollOutStep = 'trial' | 'move' | 'completed' | 'rolled_back';

/** State of a roll-out as operators see it. */
export type RollOutState = 'running' | 'completed' | 'rolled_back';

/** Step of a roll-out as stored and agreed on by all VMs. */
export interface AgreedStep {
  /** Revision of the order that the step belongs to; later orders have higher revisions. */
  order: number;
  version: string;
  step: RollOutStep;
  /** Versions that were active when the order began; empty if there were none. */
  replaces: string[];
}

/** Agreed step and the revision of its stored item, for conditional writes. */
export interface StoredStep {
  agreed: AgreedStep;
  revision: number;
}

/** Roll-out order and the revision that stored it. */
export interface StoredOrder {
  order: RollOutOrder;
  revision: number;
}

/** Evidence that one VM reports about a roll-out; all counts are totals of its incarnation. */
export interface VmEvidence {
  service: string;
  order: number;
  /** Age of the order: the longest age that this VM knows of. */
  ageMs: Millis;
  /**
   * Whether the sender knows that traffic is moving and sends no new requests to replaced targets.
   */
  moves: boolean;
  /** The sender's requests in flight at replaced targets. */
  underWay: number;
  sums: RouteOutcomeCounts[];
}

/** Evidence of all VMs, merged and broadcast by an aggregating VM. */
export interface AggregatedEvidence {
  service: string;
  order: number;
  ageMs: Millis;
  isBad: boolean;
  sums: RouteOutcomeCounts[];
}
