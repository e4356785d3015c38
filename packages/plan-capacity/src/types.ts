/** Types of the capacity plan. */
import type { ServiceScaling } from '@limelead/types';

/** Targets of one failure domain, by kind. */
export interface TargetCounts {
  plain: number;
  spot: number;
}

/** A failure domain to plan for. */
export interface PlannedDomain {
  name: string;
  /** Maximum spot targets while no more are available; undefined if there is no limit. */
  maxSpot?: number;
}

/** Operator settings that shape the plan. */
export interface CapacityPolicy {
  /** Utilization of a target at the forecast load, 0 to 1; the rest keeps queues short. */
  load: number;
  /** False if no spot targets may be used. */
  usesSpot: boolean;
  /** Minimum plain targets in each failure domain. */
  plainFloor: number;
  /** Number of late or lost runs that is as costly as one second of a plain target. */
  lateRunsPerTargetSecond: number;
}

/** Inputs of a plan. */
export interface CapacityInputs {
  domains: readonly PlannedDomain[];
  scaling: ServiceScaling;
  policy: CapacityPolicy;
  /** Targets that carry the forecast load at the policy's utilization. */
  needed: number;
  /** Forecast number of runs that arrive each second. */
  runsPerSecond: number;
}

/** Losses that a plan tolerates with all runs on time. */
export type LossCoverage =
  /** One failure domain, and the spot targets of another one. */
  | 'two-losses'
  /** One failure domain, or the spot targets of one. */
  | 'one-loss'
  | 'none';

/** Planned targets of each failure domain, with their price and coverage. */
export interface CapacityPlan {
  counts: ReadonlyMap<string, TargetCounts>;
  /** Counts as planned if spot targets were available in all domains. */
  unconstrainedCounts: ReadonlyMap<string, TargetCounts>;
  cover: LossCoverage;
  /** Price per second, in units of a plain target at price 1. */
  pricePerSecond: number;
  /** Expected late or lost runs per second, over all losses by probability. */
  lateRunsPerSecond: number;
}
