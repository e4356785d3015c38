/** Steps after a broken or silent stream. */
import assembleRecoveryPlan, { type RecoveryPlan } from '@limelead/assemble-recovery-plan';
import type { BreakCause, Millis } from '@limelead/types';
import { fail } from './end-session.js';
import { openAttachAttempt, openOnNewTarget } from './open-attempt.js';
import type { Attempt, SessionState } from './state.js';
import {
  chainStep,
  cancelAttempts,
  updateAttempt,
  excludeTarget,
  removeAttempt,
  unchanged,
  appendCommands,
  type Step,
} from './step.js';

const MAX_LIVE_ATTEMPTS = 2;

/** Handles a stream that ended without a valid end marker. */
export function onBroken(
  state: SessionState,
  attempt: Attempt,
  cause: BreakCause,
  now: Millis,
): Step {
  const others = state.attempts.filter(({ number }) => number !== attempt.number);
  if (others.length > 0) {
    return cancelAttempt(excludeIfRefused(state, attempt, cause), attempt);
  }
  const broken = recordBreak(state, now);
  const plan = assemblePlan(broken, attempt, cause);
  const observed = appendCommands(
    unchanged(broken),
    createBreakObservation(state, attempt, cause),
    createPlanObservation(plan),
  );
  return chainStep(observed, (next) => applyPlanForBroken(next, attempt, plan));
}

/** Handles an attempt that exceeded its silence timeout, or the result of probing it. */
export function onSilent(
  state: SessionState,
  attempt: Attempt,
  probe: 'running' | 'not-running' | undefined,
  now: Millis,
): Step {
  if (attempt.status === 'opening' && attempt.isAttach) {
    return onBroken(state, attempt, 'target-gone', now);
  }
  const plan = assemblePlan(
    { ...state, breakCount: state.breakCount + 1 },
    attempt,
    'silence',
    probe,
  );
  switch (plan.strategy) {
    case 'probe':
      return appendCommands(unchanged(state), { kind: 'probe', attempt: attempt.number });
    case 'wait':
      return appendCommands(
        unchanged(
          updateAttempt(state, attempt.number, { consecutiveWaits: attempt.consecutiveWaits + 1 }),
        ),
        { kind: 'watch-silence', attempt: attempt.number },
      );
    default:
      return replaceSilentAttempt(recordBreak(state, now), attempt, plan);
  }
}

function replaceSilentAttempt(state: SessionState, attempt: Attempt, plan: RecoveryPlan): Step {
  const observed = appendCommands(
    unchanged(excludeTarget(state, attempt.targetId)),
    createBreakObservation(state, attempt, 'silence'),
  );
  if (plan.strategy === 'fail') {
    return chainStep(observed, (next) => fail(next, 'recovery-exhausted', plan.reason));
  }
  const keepSilentAttempt = 'keepSilentAttempt' in plan && plan.keepSilentAttempt;
  const replaced = chainStep(observed, (next) =>
    keepSilentAttempt ? cancelOldestAtLimit(next) : cancelAttempt(next, attempt),
  );
  if (replaced.state.attempts.some(({ number }) => number > attempt.number)) {
    return replaced;
  }
  const opened = chainStep(replaced, openOnNewTarget);
  return appendCommands(opened, createPlanObservation(plan));
}

/** Cancels the oldest attempt if no further one may run beside it. */
function cancelOldestAtLimit(state: SessionState): Step {
  if (state.attempts.length < MAX_LIVE_ATTEMPTS) {
    return unchanged(state);
  }
  const oldest = state.attempts[0]?.number;
  return cancelAttempts(state, ({ number }) => number === oldest);
}

function applyPlanForBroken(state: SessionState, attempt: Attempt, plan: RecoveryPlan): Step {
  if (plan.strategy === 'attach') {
    return openAttachAttempt(removeAttempt(state, attempt.number), attempt);
  }
  if (plan.strategy === 'recompute' || plan.strategy === 'restart') {
    const dropped = cancelAttempt(excludeTarget(state, attempt.targetId), attempt);
    return chainStep(dropped, openOnNewTarget);
  }
  return fail(state, 'recovery-exhausted', plan.reason);
}

/** Cancels an attempt at its target, because the engine may still run the generation. */
function cancelAttempt(state: SessionState, attempt: Attempt): Step {
  return cancelAttempts(state, ({ number }) => number === attempt.number);
}

function excludeIfRefused(state: SessionState, attempt: Attempt, cause: BreakCause): SessionState {
  return cause === 'refused' ? excludeTarget(state, attempt.targetId) : state;
}

function assemblePlan(
  state: SessionState,
  attempt: Attempt,
  cause: BreakCause,
  probe?: 'running' | 'not-running',
): RecoveryPlan {
  return assembleRecoveryPlan({
    cause,
    deliveredTokens: state.delivered,
    promptTokens: state.promptTokens,
    policy: state.request.priority.recovery,
    attachAttempted: state.attachAttempted || attempt.status !== 'streaming',
    probe,
    consecutiveWaits: attempt.consecutiveWaits,
    breakCount: state.breakCount,
  });
}

function recordBreak(state: SessionState, now: Millis): SessionState {
  return { ...state, breakCount: state.breakCount + 1, brokenSinceMs: state.brokenSinceMs ?? now };
}

function createBreakObservation(state: SessionState, attempt: Attempt, cause: BreakCause) {
  return {
    kind: 'observe',
    detail: {
      kind: 'streamBroken',
      target: attempt.targetId,
      attempt: attempt.number,
      cause,
      delivered: state.delivered,
    },
  } as const;
}

function createPlanObservation(plan: RecoveryPlan) {
  const way = plan.strategy === 'probe' || plan.strategy === 'wait' ? 'fail' : plan.strategy;
  const repeatedTokens = 'repeatedTokens' in plan ? plan.repeatedTokens : 0;
  return {
    kind: 'observe',
    detail: { kind: 'recoveryPlanned', way, reason: plan.reason, repeatedTokens },
  } as const;
}
