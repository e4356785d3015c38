/** Gap estimates of the targets, shared by all streams of one VM. */
import {
  INITIAL_GAP_ESTIMATE,
  updateGapEstimate,
  type GapEstimate,
} from '@limelead/suspect-silence';
import type { TargetId } from '@limelead/types';

const INITIAL_ANSWER_TOKENS = 64;
const ANSWER_TOKENS_GAIN = 1 / 32;

/** Gap estimates by target. */
export interface GapTable {
  read(target: TargetId): GapEstimate;
  note(target: TargetId, gapMs: number): void;
  /** By how much first tokens lately came after what the router expected. */
  readLateness(): GapEstimate;
  noteLateness(lateMs: number): void;
  /** Tokens of an answer, on average. */
  readAnswerTokens(): number;
  noteAnswerTokens(tokens: number): void;
  /** Forgets targets that are no longer listed. */
  keepOnly(targets: ReadonlySet<TargetId>): void;
}

/** Creates an empty table. */
export default function createGapTable(): GapTable {
  const estimates = new Map<TargetId, GapEstimate>();
  const read = (target: TargetId): GapEstimate => estimates.get(target) ?? INITIAL_GAP_ESTIMATE;
  let lateness = INITIAL_GAP_ESTIMATE;
  let answerTokens = INITIAL_ANSWER_TOKENS;
  return {
    read,
    readLateness: () => lateness,
    noteLateness: (lateMs) => void (lateness = updateGapEstimate(lateness, lateMs)),
    readAnswerTokens: () => answerTokens,
    noteAnswerTokens: (tokens) =>
      void (answerTokens += ANSWER_TOKENS_GAIN * (tokens - answerTokens)),
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
