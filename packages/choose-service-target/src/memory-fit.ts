/**
 * Decides where the memory of a run fits. An engine's memory is full long before its slots are: ten
 * runs with prompts of 9,000 tokens fill 88,000 tokens, while it has 32 or 64 slots. A full engine
 * preempts a run and reads its prompt again.
 */
import type { TrackedServiceTarget } from '@limelead/track-service-targets';

/** Share of the memory from which a fuller target is avoided. */
const TIGHT_SHARE = 0.75;

/** Memory of the targets of a service and the need of one run, in tokens. */
export interface MemoryCriteria {
  capacityTokens: number;
  /** Prompt and expected output of the run. */
  needTokens: number;
  /** Memory that stays free, for output beyond the expected one: that of a usual run. */
  marginTokens: number;
  /** Tokens that runs and replicas hold at a target. */
  heldAt: (tracked: TrackedServiceTarget) => number;
  /** True if waiting longer would miss the objective; the emptiest target is used then. */
  isLastResort: boolean;
}

/** Whether a run fits at the target. A run larger than the capacity less the margin needs an empty target. */
export function hasRoom(memory: MemoryCriteria, tracked: TrackedServiceTarget): boolean {
  const { capacityTokens, needTokens, marginTokens } = memory;
  const held = memory.heldAt(tracked);
  return held === 0 || held + needTokens <= capacityTokens - marginTokens;
}

/**
 * Whether a replica fits at the target. It leaves room for one run more than a run does, so that
 * replicas are given up before runs wait.
 */
export function hasRoomForReplica(memory: MemoryCriteria, tracked: TrackedServiceTarget): boolean {
  const { capacityTokens, needTokens, marginTokens } = memory;
  return memory.heldAt(tracked) + needTokens <= capacityTokens - 2 * marginTokens;
}

/** The target with the fewest tokens held; undefined without targets. */
export function findEmptiest(
  memory: MemoryCriteria,
  targets: readonly TrackedServiceTarget[],
): TrackedServiceTarget | undefined {
  let emptiest: TrackedServiceTarget | undefined;
  let least = Infinity;
  for (const tracked of targets) {
    const held = memory.heldAt(tracked);
    if (emptiest === undefined || held < least) {
      emptiest = tracked;
      least = held;
    }
  }
  return emptiest;
}

/** How far the memory of a target is beyond the share from which it is avoided; 0 to 1. */
export function getTightness(memory: MemoryCriteria, tracked: TrackedServiceTarget): number {
  const share = memory.heldAt(tracked) / memory.capacityTokens;
  return Math.min(1, Math.max(0, share - TIGHT_SHARE) / (1 - TIGHT_SHARE));
}
