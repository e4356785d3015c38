/** Estimates of gaps between tokens, shared by all streams of one VM. */
import {
  INITIAL_GAP_ESTIMATE,
  updateGapEstimate,
  type GapEstimate,
} from '@limelead/suspect-silence';
import type { TargetId } from '@limelead/types';

const INITIAL_MEAN_ANSWER_TOKENS = 64;
const ANSWER_TOKENS_SMOOTHING = 1 / 32;

/** Token gap estimates per target, and estimates of first-token lateness and answer length. */
export interface TokenGapTable {
  readGap(target: TargetId): GapEstimate;
  recordGap(target: TargetId, gapMs: number): void;
  /** Estimate of the delay of first tokens beyond the expected time. */
  readLateness(): GapEstimate;
  recordLateness(lateMs: number): void;
  /** Moving average of the tokens in an answer. */
  readMeanAnswerTokens(): number;
  recordAnswerTokens(tokens: number): void;
  /** Removes the estimates of all other targets. */
  keepOnly(targets: ReadonlySet<TargetId>): void;
}

/** Creates a table with initial estimates. */
export default function createTokenGapTable(): TokenGapTable {
  const estimates = new Map<TargetId, GapEstimate>();
  const read = (target: TargetId): GapEstimate => estimates.get(target) ?? INITIAL_GAP_ESTIMATE;
  let lateness = INITIAL_GAP_ESTIMATE;
  let meanAnswerTokens = INITIAL_MEAN_ANSWER_TOKENS;
  return {
    readGap: read,
    readLateness: () => lateness,
    recordLateness: (lateMs) => void (lateness = updateGapEstimate(lateness, lateMs)),
    readMeanAnswerTokens: () => meanAnswerTokens,
    recordAnswerTokens: (tokens) =>
      void (meanAnswerTokens += ANSWER_TOKENS_SMOOTHING * (tokens - meanAnswerTokens)),
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
