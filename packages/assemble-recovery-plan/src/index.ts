/** Plans how to continue a broken or silent stream. Pure. */
import type { BreakCause, RecoveryPolicy } from '@limelead/types';

/** Number of breaks after which a generation fails. */
export const MAX_BREAKS = 16;

/** Longest series of waits for a target that sends nothing although its probe reports running. */
const MAX_CONSECUTIVE_WAITS = 3;

/** Delay before the first retry of a target selection; doubles with each retry. */
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1000;

/** State of a generation when its stream broke or fell silent. */
export interface RecoveryContext {
  cause: BreakCause;
  /** Tokens already delivered to the caller. */
  deliveredTokens: number;
  /** Prompt tokens to process again in a recomputation; 0 if unknown. */
  promptTokens: number;
  policy: RecoveryPolicy;
  /** True if an attach was already attempted since the last token. */
  attachAttempted: boolean;
  /** Result of probing the silent target; undefined before the probe. */
  probe?: 'running' | 'not-running';
  /** Silence timeouts already extended since the last token. */
  consecutiveWaits: number;
  /** Breaks of this generation, including the present one. */
  breakCount: number;
}

/** Plan for one break or silence. */
export type RecoveryPlan =
  /** Probe whether the generation still runs at the silent target. */
  | { strategy: 'probe'; reason: string }
  /** Wait for another silence timeout. */
  | { strategy: 'wait'; reason: string }
  /** Attach to the running generation at the same target; nothing is recomputed. */
  | { strategy: 'attach'; reason: string; repeatedTokens: 0 }
  /** Continue after the delivered tokens at another target. */
  | { strategy: 'recompute'; reason: string; keepSilentAttempt: boolean; repeatedTokens: number }
  /** Restart with another seed, because nothing was delivered. */
  | { strategy: 'restart'; reason: string; keepSilentAttempt: boolean; repeatedTokens: number }
  | { strategy: 'fail'; reason: string };

/** Plans the cheapest applicable recovery. */
export default function assembleRecoveryPlan(context: RecoveryContext): RecoveryPlan {
  if (context.breakCount > MAX_BREAKS) {
    return { strategy: 'fail', reason: `broke ${context.breakCount} times` };
  }
  if (context.cause === 'silence') {
    return planForSilence(context);
  }
  if (canStillBeRunning(context.cause) && !context.attachAttempted) {
    return {
      strategy: 'attach',
      reason: 'the engine may still run the generation',
      repeatedTokens: 0,
    };
  }
  return planOnNewTarget(context, false, describeTargetLoss(context.cause));
}

/** Returns the delay before the next target selection, without jitter. */
export function computeRetryDelayMs(failedSelections: number): number {
  const doubled = INITIAL_RETRY_DELAY_MS * 2 ** Math.min(failedSelections, 10);
  return Math.min(doubled, MAX_RETRY_DELAY_MS);
}

function planForSilence(context: RecoveryContext): RecoveryPlan {
  const { policy, probe } = context;
  if (policy.probeFirst && probe === undefined) {
    return { strategy: 'probe', reason: 'silent; asking is cheaper than recomputing' };
  }
  if (probe === 'running' && context.consecutiveWaits < MAX_CONSECUTIVE_WAITS) {
    return { strategy: 'wait', reason: 'silent, but the target says that it still runs' };
  }
  return planOnNewTarget(context, policy.hedge, 'silent for longer than its gaps explain');
}

function planOnNewTarget(
  context: RecoveryContext,
  keepSilentAttempt: boolean,
  reason: string,
): RecoveryPlan {
  if (context.deliveredTokens === 0) {
    return {
      strategy: 'restart',
      reason,
      keepSilentAttempt,
      repeatedTokens: context.promptTokens,
    };
  }
  const repeatedTokens = context.promptTokens + context.deliveredTokens;
  return { strategy: 'recompute', reason, keepSilentAttempt, repeatedTokens };
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
