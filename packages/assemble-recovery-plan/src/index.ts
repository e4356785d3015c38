/** Pure decision: how a broken or silent stream is continued. */
import type { BreakCause, RecoveryPolicy } from '@limelead/types';

/** Breaks of one generation after which it is given up. */
export const MAX_BREAKS = 16;

/** A target that says it runs, but sends nothing, is believed this often. */
const MAX_CONSECUTIVE_WAITS = 3;

/** First delay before another try at finding a target, in milliseconds; doubles with each. */
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1000;

/** What is known when a stream broke or fell silent. */
export interface RecoveryContext {
  cause: BreakCause;
  /** Tokens the caller already has. */
  deliveredTokens: number;
  /** Prompt tokens that a recomputation has to process again, as far as known. */
  promptTokens: number;
  policy: RecoveryPolicy;
  /** True where attaching again was already tried since the last token. */
  attachAttempted: boolean;
  /** What a probe of the silent target said, where one was made. */
  probe?: 'running' | 'not-running';
  /** Silences already sat out on the target's word. */
  consecutiveWaits: number;
  /** Breaks of this generation so far, this one included. */
  breakCount: number;
}

/** A plan for one break, as plain data. */
export type RecoveryPlan =
  /** Ask the silent target whether the generation still runs. */
  | { strategy: 'probe'; reason: string }
  /** Leave everything as it is for another silence bound. */
  | { strategy: 'wait'; reason: string }
  /** Read the running generation again from the same target; nothing is computed again. */
  | { strategy: 'attach'; reason: string; repeatedTokens: 0 }
  /** Another target continues behind the delivered tokens. */
  | { strategy: 'recompute'; reason: string; keepSilentAttempt: boolean; repeatedTokens: number }
  /** Nothing was delivered: begin anew with another seed. */
  | { strategy: 'restart'; reason: string; keepSilentAttempt: boolean; repeatedTokens: number }
  | { strategy: 'fail'; reason: string };

/** Assembles the plan for a break, cheapest way first. */
export default function assembleRecoveryPlan(situation: RecoveryContext): RecoveryPlan {
  if (situation.breakCount > MAX_BREAKS) {
    return { strategy: 'fail', reason: `broke ${situation.breakCount} times` };
  }
  if (situation.cause === 'silence') {
    return planForSilence(situation);
  }
  if (canStillBeRunning(situation.cause) && !situation.attachAttempted) {
    return {
      strategy: 'attach',
      reason: 'the engine may still run the generation',
      repeatedTokens: 0,
    };
  }
  return planOnNewTarget(situation, false, describeTargetLoss(situation.cause));
}

/** Milliseconds until the next try at finding a target, before jitter. */
export function computeRetryDelayMs(failedTries: number): number {
  const doubled = INITIAL_RETRY_DELAY_MS * 2 ** Math.min(failedTries, 10);
  return Math.min(doubled, MAX_RETRY_DELAY_MS);
}

function planForSilence(situation: RecoveryContext): RecoveryPlan {
  const { policy, probe } = situation;
  if (policy.probeFirst && probe === undefined) {
    return { strategy: 'probe', reason: 'silent; asking is cheaper than recomputing' };
  }
  if (probe === 'running' && situation.consecutiveWaits < MAX_CONSECUTIVE_WAITS) {
    return { strategy: 'wait', reason: 'silent, but the target says that it still runs' };
  }
  return planOnNewTarget(situation, policy.hedge, 'silent for longer than its gaps explain');
}

function planOnNewTarget(
  situation: RecoveryContext,
  keepOld: boolean,
  reason: string,
): RecoveryPlan {
  if (situation.deliveredTokens === 0) {
    return {
      strategy: 'restart',
      reason,
      keepSilentAttempt: keepOld,
      repeatedTokens: situation.promptTokens,
    };
  }
  const repeatedTokens = situation.promptTokens + situation.deliveredTokens;
  return { strategy: 'recompute', reason, keepSilentAttempt: keepOld, repeatedTokens };
}

function canStillBeRunning(cause: BreakCause): boolean {
  return cause === 'link-broken' || cause === 'cut-short' || cause === 'vm-lost';
}

function describeTargetLoss(cause: BreakCause): string {
  switch (cause) {
    case 'refused':
      return 'the target takes no connection or no work';
    case 'target-gone':
      return 'the target no longer knows the generation';
    default:
      return 'attaching again failed';
  }
}
