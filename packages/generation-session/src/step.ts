/** The result of one step, and small changes of state that several events share. */
import type { SessionCommand } from './messages.js';
import type { Attempt, SessionState } from './state.js';

/** A new state and what to carry out. */
export interface Step {
  state: SessionState;
  commands: SessionCommand[];
}

/** A step that changes nothing. */
export function stay(state: SessionState): Step {
  return { state, commands: [] };
}

/** Puts more commands behind those of a step. */
export function withCommands(step: Step, ...commands: SessionCommand[]): Step {
  return { state: step.state, commands: [...step.commands, ...commands] };
}

/** Goes on from the state of a step with another function. */
export function andThen(step: Step, next: (state: SessionState) => Step): Step {
  const following = next(step.state);
  return { state: following.state, commands: [...step.commands, ...following.commands] };
}

/** The live attempt of that number. */
export function findAttempt(state: SessionState, number: number): Attempt | undefined {
  return state.attempts.find((attempt) => attempt.number === number);
}

/** Changes one live attempt. */
export function changeAttempt(
  state: SessionState,
  number: number,
  change: Partial<Attempt>,
): SessionState {
  const attempts = state.attempts.map((attempt) =>
    attempt.number === number ? { ...attempt, ...change } : attempt,
  );
  return { ...state, attempts };
}

/** Forgets one live attempt. */
export function removeAttempt(state: SessionState, number: number): SessionState {
  const attempts = state.attempts.filter((attempt) => attempt.number !== number);
  return { ...state, attempts };
}

/** Cancels attempts at their targets and forgets them. */
export function cancelAttempts(
  state: SessionState,
  which: (attempt: Attempt) => boolean = () => true,
): Step {
  const cancelled = state.attempts.filter(which);
  const attempts = state.attempts.filter((attempt) => !which(attempt));
  return {
    state: { ...state, attempts },
    commands: cancelled.map(({ number }) => ({ kind: 'cancel-attempt', attempt: number })),
  };
}

/** Adds a target to those that this generation does not go back to. */
export function excludeTarget(state: SessionState, targetId: string): SessionState {
  if (targetId === '' || state.excluded.includes(targetId)) {
    return state;
  }
  return { ...state, excluded: [...state.excluded, targetId] };
}
