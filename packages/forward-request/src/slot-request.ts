/** Slots at targets and requests for them. */
import type { TrackedServiceTarget } from '@limelead/track-service-targets';
import type { Millis, ReleasePlace } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { RunMemory } from './run-memory.js';
import type { TargetNeed } from './target-placement.js';

/** A request for a slot. */
export interface SlotRequest extends TargetNeed {
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

/** What the choice and the accounting of a slot need to know of its request. */
export type SlotNeed = Partial<TargetNeed> & Pick<SlotRequest, 'admitted' | 'objectiveAtMs'>;

/** An acquired slot; `release` must be called once. */
export interface Slot {
  tracked: TrackedServiceTarget;
  /** Replica target that the scheduler advised. */
  replicaTargetId?: string;
  /** True if a scheduler advised the target, with or without a replica target. */
  isAdvised?: boolean;
  /** Memory that the run holds there; undefined if unknown. */
  memory?: RunMemory;
  release: ReleasePlace;
}
