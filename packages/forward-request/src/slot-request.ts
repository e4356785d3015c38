/** Slots at targets and requests for them. */
import type { TrackedServiceTarget } from '@limelead/track-service-targets';
import type { Millis, ReleasePlace } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';

/** A request for a slot. */
export interface SlotRequest {
  requestId: string;
  service: string;
  affinityKey: string;
  exclude: ReadonlySet<string>;
  rank: number;
  /** True if the request may crash its target: only the least loaded targets are considered. */
  onlyLeastLoaded?: boolean;
  /** True for a hedge, which takes no permit that another request could use. */
  isHedge?: boolean;
  /** Steady time until which the request may wait. */
  untilMs: Millis;
  /** The request, for fair shares and the detection of repeats; without it neither applies. */
  admitted?: AdmittedRequest;
  /** Steady time of the objective for the complete answer; undefined if only the wait is bounded. */
  objectiveAtMs?: Millis;
  /** Shortest time in milliseconds that the target needs for the answer. */
  minServiceMs?: Millis;
}

/** An acquired slot; `release` must be called once. */
export interface Slot {
  tracked: TrackedServiceTarget;
  /** Replica target that the scheduler advised. */
  replicaTargetId?: string;
  release: ReleasePlace;
}
