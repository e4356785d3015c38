/** Pure decision: how a broken or silent stream is continued. */
import type { BreakCause, RecoveryPolicy } from '@limelead/types';

/** Breaks of one generation after which it is given up. */
export const MAX_BREAKS = 16;

/** A target that says it runs, but sends nothing, is believed this often. */
const MAX_WAITS = 3;

/** First delay before another try at finding a target, in milliseconds; doubles with each. */
const FIRST_RETRY_DELAY_MS = 50;
const LONGEST_RETRY_DELAY_MS = 1000;

/** What is known when a stream broke or fell silent. */
export interface BreakSituation {
  cause: BreakCause;
  /** Tokens the caller already has. */
  delivered: number;
  /** Prompt tokens that a recomputation has to process again, as far as known. */
  promptTokens: number;
  policy: RecoveryPolicy;
  /** True where attaching again was already tried since the last token. */
  attachTried: boolean;
  /** What a probe of the silent target said, where one was made. */
  probe?: 'running' | 'not-running';
  /** Silences already sat out on the target's word. */
  waits: number;
  /** Breaks of this generation so far, this one included. */
  breaks: number;
}

/** A plan for one break, as plain data. */
export type RecoveryPlan =
  /** Ask the silent target whether the generation still runs. */
  | { way: 'probe'; reason: string }
  /** Leave everything as it is for another silence bound. */
  | { way: 'wait'; reason: string }
  /** Read the running generation again from the same target; nothing is computed again. */
  | { way: 'attach'; reason: string; repeatedTokens: 0 }
  /** Another target continues behind the delivered tokens. */
  | { way: 'recompute'; reason: string; keepOld: boolean; repeatedTokens: number }
  /** Nothing was delivered: begin anew with another seed. */
  | { way: 'restart'; reason: string; keepOld: boolean; repeatedTokens: number }
  | { way: 'fail'; reason: string };

/** Assembles the plan for a break, cheapest way first. */
export default function assembleRecoveryPlan(situation: BreakSituation): RecoveryPlan {
  if (situation.breaks > MAX_BREAKS) {
    return { way: 'fail', reason: `broke ${situation.breaks} times` };
  }
  if (situation.cause === 'silence') {
    return planForSilence(situation);
  }
  if (mayStillRun(situation.cause) && !situation.attachTried) {
    return { way: 'attach', reason: 'the engine may still run the generation', repeatedTokens: 0 };
  }
  return planElsewhere(situation, false, describeLoss(situation.cause));
}

/** Milliseconds until the next try at finding a target, before jitter. */
export function computeRetryDelay(failedTries: number): number {
  const doubled = FIRST_RETRY_DELAY_MS * 2 ** Math.min(failedTries, 10);
  return Math.min(doubled, LONGEST_RETRY_DELAY_MS);
}

function planForSilence(situation: BreakSituation): RecoveryPlan {
  const { policy, probe } = situation;
  if (policy.probeFirst && probe === undefined) {
    return { way: 'probe', reason: 'silent; asking is cheaper than recomputing' };
  }
  if (probe === 'running' && situation.waits < MAX_WAITS) {
    return { way: 'wait', reason: 'silent, but the target says that it still runs' };
  }
  return planElsewhere(situation, policy.hedge, 'silent for longer than its gaps explain');
}

function planElsewhere(situation: BreakSituation, keepOld: boolean, reason: string): RecoveryPlan {
  if (situation.delivered === 0) {
    return { way: 'restart', reason, keepOld, repeatedTokens: situation.promptTokens };
  }
  const repeatedTokens = situation.promptTokens + situation.delivered;
  return { way: 'recompute', reason, keepOld, repeatedTokens };
}

function mayStillRun(cause: BreakCause): boolean {
  return cause === 'link-broken' || cause === 'cut-short' || cause === 'vm-lost';
}

function describeLoss(cause: BreakCause): string {
  switch (cause) {
    case 'refused':
      return 'the target takes no connection or no work';
    case 'target-gone':
      return 'the target no longer knows the generation';
    default:
      return 'attaching again failed';
  }
}
