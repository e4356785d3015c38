/** Estimates how many targets carry a load, by their scarcest resource. */
import type { EngineCapabilities } from '@limelead/types';

/** Current or forecast load. */
export interface ServiceLoad {
  /** Prompt tokens that arrive each second. */
  promptTokensPerSecond: number;
  /**
   * Runs in progress and waiting. Replicas are not counted, since they are only made where memory
   * is free.
   */
  runs: number;
}

/** Measured performance of the targets. */
export interface TargetPerformance {
  /** Milliseconds per prompt token, as measured. */
  prefillMsPerToken: number;
  /** Average number of tokens that a run holds in memory. */
  tokensPerRun: number;
}

/** Number of fully used targets that each resource alone would need. */
export interface TargetNeed {
  prefill: number;
  memory: number;
  slots: number;
}

const MS_PER_SECOND = 1_000;

/** Estimates the need by each resource; the highest one decides. */
export default function estimateTargetNeed(
  { promptTokensPerSecond, runs }: ServiceLoad,
  { prefillMsPerToken, tokensPerRun }: TargetPerformance,
  { slots, memoryTokens }: EngineCapabilities,
): TargetNeed {
  return {
    prefill: (promptTokensPerSecond * prefillMsPerToken) / MS_PER_SECOND,
    memory: (runs * tokensPerRun) / Math.max(1, memoryTokens),
    slots: runs / Math.max(1, slots),
  };
}

/** Returns the number of targets that carry the load at this utilization. */
export function targetsForUtilization(
  load: number,
  { prefill, memory, slots }: TargetNeed,
): number {
  return Math.ceil(Math.max(prefill, memory, slots) / load);
}
