/** Gap estimates of the targets, shared by all streams of one VM. */
import {
  INITIAL_GAP_ESTIMATE,
  updateGapEstimate,
  type GapEstimate,
} from '@limelead/suspect-silence';
import type { TargetId } from '@limelead/types';

const INITIAL_MEAN_ANSWER_TOKENS = 64;
const ANSWER_TOKENS_SMOOTHING = 1 / 32;

/** Gap estimates by target. */
export interface TokenGapTable {
  readGap(target: TargetId): GapEstimate;
  recordGap(target: TargetId, gapMs: number): void;
  /** By how much first tokens lately came after what the router expected. */
  readLateness(): GapEstimate;
  recordLateness(lateMs: number): void;
  /** Tokens of an answer, on average. */
  readMeanAnswerTokens(): number;
  recordAnswerTokens(tokens: number): void;
  /** Forgets targets that are no longer listed. */
  keepOnly(targets: ReadonlySet<TargetId>): void;
}

/** Creates an empty table. */
export default function createTokenGapTable(): TokenGapTable {
  const estimates = new Map<TargetId, GapEstimate>();
  const read = (target: TargetId): GapEstimate => estimates.get(target) ?? INITIAL_GAP_ESTIMATE;
  let lateness = INITIAL_GAP_ESTIMATE;
  let answerTokens = INITIAL_MEAN_ANSWER_TOKENS;
  return {
    readGap: read,
    readLateness: () => lateness,
    recordLateness: (lateMs) => void (lateness = updateGapEstimate(lateness, lateMs)),
    readMeanAnswerTokens: () => answerTokens,
    recordAnswerTokens: (tokens) =>
      void (answerTokens += ANSWER_TOKENS_SMOOTHING * (tokens - answerTokens)),
    recordGap: (target, gapMs) =>
      void estimates.set(target, updateGapEstimate(read(target), gapMs)),
    keepOnly: (targets) => {
      for (const target of estimates.keys()) {
        if (!targets.has(target)) {
          estimates.delete(target);
        }
      }
    },
  };
}
