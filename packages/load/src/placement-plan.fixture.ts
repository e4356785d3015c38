/** Plans and results of the replay of placements. */
import type { Millis } from '@limelead/types';

/** What the choice of targets takes into account. */
export type PlacementVariant = 'slots' | 'memory' | 'memory-and-pace';

/** A fleet and its load. */
export interface PlacementPlan {
  variant: PlacementVariant;
  vms: number;
  engines: number;
  domains: number;
  slots: number;
  streamsPerSecond: number;
  outputTokens: number;
  msPerOutputToken: number;
  objectiveMs: Millis;
  /** Share of the prompts with 40,000 tokens instead of 8,200. */
  longShare: number;
  /** Share of the streams that arrive at VMs of the first domain. */
  firstDomainShare: number;
  hasDomainLosses: boolean;
  hasSlowTargets: boolean;
  seed: number;
}

/** Counts of one replay. */
export interface PlacementResult {
  streams: number;
  /** First piece within the objective. */
  inTime: number;
  /** In time, and not preempted after the first piece. */
  whole: number;
  /** Placements that memory or pace limited. */
  limited: number;
  replicas: number;
  /** Runs in another domain than that of their VM. */
  elsewhere: number;
  /** Prefills of runs that were lost without a replica, in tokens. */
  repeatedTokens: number;
  preemptions: number;
  /** Prefills of preempted runs, in tokens. */
  wastedTokens: number;
  maxMemoryShare: number;
}
