/** Steps that follow a break or a silence. */
import assembleRecoveryPlan, { type RecoveryPlan } from '@limelead/assemble-recovery-plan';
import type { BreakCause, Millis } from '@limelead/types';
import { fail } from './end-session.js';
import { openAttach, openElsewhere } from './open-attempt.js';
import type { Attempt, SessionState } from './state.js';
import {
  andThen,
  cancelAttempts,
  changeAttempt,
  excludeTarget,
  removeAttempt,
  stay,
  withCommands,
  type Step,
} from './step.js';

const MAX_LIVE_ATTEMPTS = 2;

/** The stream of an attempt ended without a proper end. */
export function onBroken(
  state: SessionState,
  attempt: Attempt,
  cause: BreakCause,
  now: Millis,
): Step {
  const others = state.attempts.filter(({ number }) => number !== attempt.number);
  if (others.length > 0) {
    return dropAttempt(excludeIfRefused(state, attempt, cause), attempt);
  }
  const broken = noteBreak(state, now);
  const plan = assemblePlan(broken, attempt, cause);
  const observed = withCommands(
    stay(broken),
    observeBreak(state, attempt, cause),
    observePlan(plan),
  );
  return andThen(observed, (next) => carryOutForBroken(next, attempt, plan));
}

/** An attempt sent nothing for longer than its bound. */
export function onSilent(
  state: SessionState,
  attempt: Attempt,
  probe: 'running' | 'not-running' | undefined,
  now: Millis,
): Step {
  if (attempt.status === 'opening' && attempt.attached) {
    return onBroken(state, attempt, 'target-gone', now);
  }
  const plan = assemblePlan({ ...state, breaks: state.breaks + 1 }, attempt, 'silence', probe);
  switch (plan.way) {
    case 'probe':
      return withCommands(stay(state), { kind: 'probe', attempt: attempt.number });
    case 'wait':
      return withCommands(
        stay(changeAttempt(state, attempt.number, { waits: attempt.waits + 1 })),
        { kind: 'watch-silence', attempt: attempt.number },
      );
    default:
      return leaveSilent(noteBreak(state, now), attempt, plan);
  }
}

function leaveSilent(state: SessionState, attempt: Attempt, plan: RecoveryPlan): Step {
  const observed = withCommands(
    stay(excludeTarget(state, attempt.targetId)),
    observeBreak(state, attempt, 'silence'),
  );
  if (plan.way === 'fail') {
    return andThen(observed, (next) => fail(next, 'recovery-exhausted', plan.reason));
  }
  const keepOld = 'keepOld' in plan && plan.keepOld;
  const left = andThen(observed, (next) => (keepOld ? makeRoom(next) : dropAttempt(next, attempt)));
  if (left.state.attempts.some(({ number }) => number > attempt.number)) {
    return left;
  }
  const opened = andThen(left, openElsewhere);
  return withCommands(opened, observePlan(plan));
}

/** With two attempts live, the older one has to go before a third begins. */
function makeRoom(state: SessionState): Step {
  if (state.attempts.length < MAX_LIVE_ATTEMPTS) {
    return stay(state);
  }
  const oldest = state.attempts[0]?.number;
  return cancelAttempts(state, ({ number }) => number === oldest);
}

function carryOutForBroken(state: SessionState, attempt: Attempt, plan: RecoveryPlan): Step {
  if (plan.way === 'attach') {
    return openAttach(removeAttempt(state, attempt.number), attempt);
  }
  if (plan.way === 'recompute' || plan.way === 'restart') {
    const dropped = dropAttempt(excludeTarget(state, attempt.targetId), attempt);
    return andThen(dropped, openElsewhere);
  }
  return fail(state, 'recovery-exhausted', plan.reason);
}

/** The engine may still run what was broken off; cancelling it ends its cost. */
function dropAttempt(state: SessionState, attempt: Attempt): Step {
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
    delivered: state.delivered,
    promptTokens: state.promptTokens,
    policy: state.request.priority.recovery,
    attachTried: state.attachTried || attempt.status !== 'streaming',
    probe,
    waits: attempt.waits,
    breaks: state.breaks,
  });
}

function noteBreak(state: SessionState, now: Millis): SessionState {
  return { ...state, breaks: state.breaks + 1, brokenSinceMs: state.brokenSinceMs ?? now };
}

function observeBreak(state: SessionState, attempt: Attempt, cause: BreakCause) {
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

function observePlan(plan: RecoveryPlan) {
  const way = plan.way === 'probe' || plan.way === 'wait' ? 'fail' : plan.way;
  const repeatedTokens = 'repeatedTokens' in plan ? plan.repeatedTokens : 0;
  return {
    kind: 'observe',
    detail: { kind: 'recoveryPlanned', way, reason: plan.reason, repeatedTokens },
  } as const;
}
