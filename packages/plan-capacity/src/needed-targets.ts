/** Pure estimate of how many targets carry a load, by the scarcest of what they have. */
import type { EngineCapabilities } from '@limelead/types';

/** A load as it is, or as it is forecast. */
export interface ServiceLoad {
  /** Tokens of prompts that arrive in a second. */
  promptTokensPerSecond: number;
  /** Runs under way and waiting; their copies are made only where there is room. */
  runs: number;
}

/** What targets were seen to do. */
export interface TargetPace {
  /** Milliseconds for one token of a prompt, as targets really took. */
  readMsPerToken: number;
  /** Tokens that a run holds in memory, on the average. */
  tokensPerRun: number;
}

/** Targets that one thing alone asks for, at full load. */
export interface TargetNeed {
  reading: number;
  memory: number;
  slots: number;
}

const MILLISECONDS_A_SECOND = 1_000;

/** Gives the need by each thing; the highest decides. */
export default function estimateNeed(
  { promptTokensPerSecond, runs }: ServiceLoad,
  { readMsPerToken, tokensPerRun }: TargetPace,
  { slots, memoryTokens }: EngineCapabilities,
): TargetNeed {
  return {
    reading: (promptTokensPerSecond * readMsPerToken) / MILLISECONDS_A_SECOND,
    memory: (runs * tokensPerRun) / Math.max(1, memoryTokens),
    slots: runs / Math.max(1, slots),
  };
}

/** Targets that carry it where each is loaded by that part. */
export function targetsAt(load: number, { reading, memory, slots }: TargetNeed): number {
  return Math.ceil(Math.max(reading, memory, slots) / load);
}
