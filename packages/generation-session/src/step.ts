/** Result of one step, and state changes that several events share. */
import type { SessionCommand } from './messages.js';
import type { Attempt, SessionState } from './state.js';

/** New state and the commands to carry out. */
export interface Step {
  state: SessionState;
  commands: SessionCommand[];
}

/** Returns a step with the given state and no commands. */
export function unchanged(state: SessionState): Step {
  return { state, commands: [] };
}

/** Appends commands to a step. */
export function appendCommands(step: Step, ...commands: SessionCommand[]): Step {
  return { state: step.state, commands: [...step.commands, ...commands] };
}

/** Applies a function to the state of a step and joins the commands of both. */
export function chainStep(step: Step, next: (state: SessionState) => Step): Step {
  const following = next(step.state);
  return { state: following.state, commands: [...step.commands, ...following.commands] };
}

/** Returns the live attempt with that number. */
export function findAttempt(state: SessionState, number: number): Attempt | undefined {
  return state.attempts.find((attempt) => attempt.number === number);
}

/** Updates one live attempt. */
export function updateAttempt(
  state: SessionState,
  number: number,
  change: Partial<Attempt>,
): SessionState {
  const attempts = state.attempts.map((attempt) =>
    attempt.number === number ? { ...attempt, ...change } : attempt,
  );
  return { ...state, attempts };
}

/** Removes one live attempt without cancelling it. */
export function removeAttempt(state: SessionState, number: number): SessionState {
  const attempts = state.attempts.filter((attempt) => attempt.number !== number);
  return { ...state, attempts };
}

/** Removes the matching attempts and cancels them at their targets. */
export function cancelAttempts(
  state: SessionState,
  matches: (attempt: Attempt) => boolean = () => true,
): Step {
  const cancelled = state.attempts.filter(matches);
  const attempts = state.attempts.filter((attempt) => !matches(attempt));
  return {
    state: { ...state, attempts },
    commands: cancelled.map(({ number }) => ({ kind: 'cancel-attempt', attempt: number })),
  };
}

/** Excludes a target from further selections for this generation. */
export function excludeTarget(state: SessionState, targetId: string): SessionState {
  if (targetId === '' || state.excludedTargets.includes(targetId)) {
    return state;
  }
  return { ...state, excludedTargets: [...state.excludedTargets, targetId] };
}
