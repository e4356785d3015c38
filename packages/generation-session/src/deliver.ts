/** Steps for tokens and ends: each token once, in order, from one attempt only. */
import type { FinishReason, Millis } from '@limelead/types';
import { dropForeign, finish } from './end-session.js';
import type { SessionCommand } from './messages.js';
import { onBroken } from './recover.js';
import type { Attempt, SessionState } from './state.js';
import { andThen, cancelAttempts, changeAttempt, stay, withCommands, type Step } from './step.js';

/** Tokens of a live attempt. */
export function onTokens(
  state: SessionState,
  attempt: Attempt,
  offset: number,
  tokens: string[],
  now: Millis,
): Step {
  if (offset > state.delivered) {
    return onBroken(state, attempt, 'cut-short', now);
  }
  const fresh = tokens.slice(state.delivered - offset);
  if (fresh.length === 0) {
    return stay(state);
  }
  const won = makeCurrent(state, attempt);
  return andThen(won, (next) => deliver(next, attempt, fresh, now));
}

/** Tokens of an attempt that is no longer live: a paused engine woke up, or a hedge lost. */
export function onStaleTokens(state: SessionState, attempt: number, tokens: string[]): Step {
  return withCommands(stay(state), {
    kind: 'observe',
    detail: { kind: 'staleTokensDropped', attempt, tokens: tokens.length },
  });
}

/** An end marker; it is believed only where its length agrees with what was delivered. */
export function onEnded(
  state: SessionState,
  attempt: Attempt,
  length: number,
  reason: FinishReason,
  now: Millis,
): Step {
  const isWhole = length === state.delivered;
  const isPlausible = reason === 'stop' || length === state.request.maxTokens;
  if (!isWhole || !isPlausible) {
    return onBroken(state, attempt, 'cut-short', now);
  }
  const won = makeCurrent(state, attempt);
  return andThen(won, (next) => finish(next, attempt.number, reason));
}

/**
 * Makes an attempt the one whose tokens are delivered, and cancels the others:
 * their tokens continue another prefix and must never be mixed with these.
 */
export function makeCurrent(state: SessionState, attempt: Attempt): Step {
  const others = cancelAttempts(state, ({ number }) => number !== attempt.number);
  if (state.current === attempt.number) {
    return others;
  }
  const binding = attempt.binding ?? state.binding;
  const next = { ...others.state, current: attempt.number, binding };
  return withCommands({ ...others, state: next }, ...announce(next, attempt));
}

function announce(state: SessionState, attempt: Attempt): SessionCommand[] {
  if (state.binding === undefined) {
    return [];
  }
  const { binding } = state;
  const { number, targetId, generationId } = attempt;
  const { deadlineAtMs } = state.request;
  const resume = { binding, targetId, generationId, attempt: number, deadlineAtMs };
  return [{ kind: 'send', message: { kind: 'started', binding, attempt: number, resume } }];
}

function deliver(state: SessionState, attempt: Attempt, tokens: string[], now: Millis): Step {
  const continued = noteContinuation(state, attempt, now);
  const offset = state.delivered;
  const next: SessionState = {
    ...changeAttempt(continued.state, attempt.number, { waits: 0 }),
    delivered: offset + tokens.length,
    lastDeliveredAtMs: now,
    attachTried: false,
    excluded: [],
  };
  return withCommands(
    { ...continued, state: next },
    { kind: 'send', message: { kind: 'tokens', offset, tokens } },
  );
}

function noteContinuation(state: SessionState, attempt: Attempt, now: Millis): Step {
  if (state.brokenSinceMs === undefined) {
    return stay(state);
  }
  const resumeLatencyMs = now - state.lastDeliveredAtMs;
  const mended = {
    ...state,
    brokenSinceMs: undefined,
    giveUpAtMs: undefined,
    recoveries: state.recoveries + 1,
  };
  const isForeignRead = attempt.generationId === state.foreign?.generationId;
  const step = isForeignRead ? stay({ ...mended, foreign: undefined }) : dropForeign(mended);
  return withCommands(step, {
    kind: 'observe',
    detail: {
      kind: 'streamContinued',
      target: attempt.targetId,
      attempt: attempt.number,
      resumeLatencyMs,
    },
  });
}
