/** Delivers the tokens of an answer exactly once and in order, and handles its end marker. */
import type { FinishReason, Millis } from '@limelead/types';
import { cancelForeignGeneration, finish } from './end-session.js';
import type { SessionCommand } from './messages.js';
import { onBroken } from './recover.js';
import type { Attempt, SessionState } from './state.js';
import {
  chainStep,
  cancelAttempts,
  updateAttempt,
  unchanged,
  appendCommands,
  type Step,
} from './step.js';

/** Delivers the new tokens of a live attempt. A gap before them breaks the attempt. */
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
  const newTokens = tokens.slice(state.delivered - offset);
  if (newTokens.length === 0) {
    return unchanged(state);
  }
  const selected = selectAttempt(state, attempt);
  return chainStep(selected, (next) => deliver(next, attempt, newTokens, now));
}

/** Drops tokens of an attempt that is no longer live, such as a cancelled hedge. */
export function onStaleTokens(state: SessionState, attempt: number, tokens: string[]): Step {
  return appendCommands(unchanged(state), {
    kind: 'observe',
    detail: { kind: 'staleTokensDropped', attempt, tokens: tokens.length },
  });
}

/** Handles an end marker. The stream counts as broken if the length differs from that delivered. */
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
  const selected = selectAttempt(state, attempt);
  return chainStep(selected, (next) => finish(next, attempt.number, reason));
}

/**
 * Makes an attempt the source of the delivered tokens and cancels the others.
 * Tokens of different attempts continue different prefixes and must not be mixed.
 */
export function selectAttempt(state: SessionState, attempt: Attempt): Step {
  const others = cancelAttempts(state, ({ number }) => number !== attempt.number);
  if (state.currentAttempt === attempt.number) {
    return others;
  }
  const binding = attempt.binding ?? state.binding;
  const next = { ...others.state, currentAttempt: attempt.number, binding };
  return appendCommands({ ...others, state: next }, ...createStartedCommands(next, attempt));
}

function createStartedCommands(state: SessionState, attempt: Attempt): SessionCommand[] {
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
  const continued = recordContinuation(state, attempt, now);
  const offset = state.delivered;
  const next: SessionState = {
    ...updateAttempt(continued.state, attempt.number, { consecutiveWaits: 0 }),
    delivered: offset + tokens.length,
    lastDeliveredAtMs: now,
    attachAttempted: false,
    excludedTargets: [],
  };
  return appendCommands(
    { ...continued, state: next },
    { kind: 'send', message: { kind: 'tokens', offset, tokens } },
  );
}

function recordContinuation(state: SessionState, attempt: Attempt, now: Millis): Step {
  if (state.brokenSinceMs === undefined) {
    return unchanged(state);
  }
  const resumeLatencyMs = now - state.lastDeliveredAtMs;
  const recovered = {
    ...state,
    brokenSinceMs: undefined,
    giveUpAtMs: undefined,
    recoveries: state.recoveries + 1,
  };
  const isForeignGeneration = attempt.generationId === state.foreignGeneration?.generationId;
  const step = isForeignGeneration
    ? unchanged({ ...recovered, foreignGeneration: undefined })
    : cancelForeignGeneration(recovered);
  return appendCommands(step, {
    kind: 'observe',
    detail: {
      kind: 'streamContinued',
      target: attempt.targetId,
      attempt: attempt.number,
      resumeLatencyMs,
    },
  });
}
