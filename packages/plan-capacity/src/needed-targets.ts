/** Pure estimate of how many targets carry a load, by the scarcest of what they have. */
import type { EngineTraits } from '@limelead/types';

/** A load as it is, or as it is forecast. */
export interface ServiceLoad {
  /** Tokens of prompts that arrive in a second. */
  promptTokensPerSecond: number;
  /** Runs under way and waiting; their copies are made only where there is room. */
  runs: number;
}

/** What targets were seen to do. */
export interface TargetPerformance {
  /** Milliseconds for one token of a prompt, as targets really took. */
  prefillMsPerToken: number;
  /** Tokens that a run holds in memory, on the average. */
  tokensPerRun: number;
}

/** Targets that one thing alone asks for, at full load. */
export interface TargetNeed {
  prefill: number;
  memory: number;
  slots: number;
}

const MS_PER_SECOND = 1_000;

/** Gives the need by each thing; the highest decides. */
export default function estimateTargetNeed(
  { promptTokensPerSecond, runs }: ServiceLoad,
  { prefillMsPerToken, tokensPerRun }: TargetPerformance,
  { slots, memoryTokens }: EngineTraits,
): TargetNeed {
  return {
    prefill: (promptTokensPerSecond * prefillMsPerToken) / MS_PER_SECOND,
    memory: (runs * tokensPerRun) / Math.max(1, memoryTokens),
    slots: runs / Math.max(1, slots),
  };
}

/** Targets that carry it where each is loaded by that part. */
export function targetsForUtilization(
  load: number,
  { prefill, memory, slots }: TargetNeed,
): number {
  return Math.ceil(Math.max(prefill, memory, slots) / load);
}
