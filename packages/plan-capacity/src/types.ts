/** Shapes of the plan of capacity. */
import type { ServiceScaling } from '@limelead/types';

/** Targets of one failure domain, by kind. */
export interface TargetCounts {
  plain: number;
  spot: number;
}

/** What a failure domain can have. */
export interface PlannedDomain {
  name: string;
  /** Spot targets at most, where no more are to be had there now; undefined where more are. */
  maxSpot?: number;
}

/** What an operator decides about the plan. */
export interface CapacityPolicy {
  /** Part of a target's time that work may take at the forecast; the rest keeps waiting short. */
  load: number;
  /** False where nothing may run on targets that can be taken away. */
  usesSpot: boolean;
  /** Fewest plain targets of one failure domain. */
  plainFloor: number;
  /** Runs that may be late or lost for one second of a plain target saved. */
  lateRunsPerTargetSecond: number;
}

/** What a plan is made for. */
export interface CapacityInputs {
  domains: readonly PlannedDomain[];
  scaling: ServiceScaling;
  policy: CapacityPolicy;
  /** Targets that carry the forecast at the policy's load. */
  needed: number;
  /** Runs that arrive in a second, by the forecast. */
  runsPerSecond: number;
}

/** Which losses a plan bears with all runs on time. */
export type LossCoverage =
  /** A failure domain and the spot targets of another one. */
  | 'two-losses'
  /** A failure domain, or the spot targets of one. */
  | 'one-loss'
  | 'none';

/** What is ordered, and why. */
export interface CapacityPlan {
  counts: ReadonlyMap<string, TargetCounts>;
  /** The same if no domain were dry. */
  unconstrainedCounts: ReadonlyMap<string, TargetCounts>;
  cover: LossCoverage;
  /** Price of a second, in plain targets at price 1. */
  pricePerSecond: number;
  /** Runs that are expected to be late or lost in a second, over all losses by their likelihood. */
  lateRunsPerSecond: number;
}
