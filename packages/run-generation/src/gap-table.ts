/** Gap estimates of the targets, shared by all streams of one VM. */
import {
  INITIAL_GAP_ESTIMATE,
  updateGapEstimate,
  type GapEstimate,
} from '@limelead/suspect-silence';
import type { TargetId } from '@limelead/types';

/** Gap estimates by target. */
export interface GapTable {
  read(target: TargetId): GapEstimate;
  note(target: TargetId, gapMs: number): void;
  /** Forgets targets that are no longer listed. */
  keepOnly(targets: ReadonlySet<TargetId>): void;
}

/** Creates an empty table. */
export default function createGapTable(): GapTable {
  const estimates = new Map<TargetId, GapEstimate>();
  const read = (target: TargetId): GapEstimate => estimates.get(target) ?? INITIAL_GAP_ESTIMATE;
  return {
    read,
    note: (target, gapMs) => void estimates.set(target, updateGapEstimate(read(target), gapMs)),
    keepOnly: (targets) => {
      for (const target of estimates.keys()) {
        if (!targets.has(target)) {
          estimates.delete(target);
        }
      }
    },
  };
}
