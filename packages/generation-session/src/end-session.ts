/** Steps that end a session. */
import type { ErrorKind } from '@limelead/errors';
import type { FinishReason } from '@limelead/types';
import type { SessionCommand } from './messages.js';
import type { SessionState } from './state.js';
import {
  chainStep,
  cancelAttempts,
  removeAttempt,
  unchanged,
  appendCommands,
  type Step,
} from './step.js';

/** Ends the session after the complete answer. */
export function finish(state: SessionState, attempt: number, reason: FinishReason): Step {
  const others = cancelAttempts(state, ({ number }) => number !== attempt);
  const { delivered: length, recoveries } = state;
  return appendCommands(
    { ...others, state: markDone(removeAttempt(others.state, attempt)) },
    ...createCancelForeignCommands(state),
    { kind: 'observe', detail: { kind: 'answerFinished', length, recoveries } },
    { kind: 'send', message: { kind: 'finished', length, reason, recoveries } },
  );
}

/** Cancels all attempts and reports the failure to the caller. */
export function fail(state: SessionState, error: ErrorKind, message: string): Step {
  const cancelled = cancelAttempts(state);
  return appendCommands(
    { ...cancelled, state: markDone(cancelled.state) },
    ...createCancelForeignCommands(state),
    {
      kind: 'fail',
      error,
      message,
    },
  );
}

/** Asks the caller to resume through another VM, which attaches to the running generation. */
export function handOver(state: SessionState): Step {
  const commands: SessionCommand[] = state.attempts.map(({ number }) =>
    number === state.currentAttempt
      ? { kind: 'detach-attempt', attempt: number }
      : { kind: 'cancel-attempt', attempt: number },
  );
  const closed = unchanged(markDone({ ...state, attempts: [] }));
  return appendCommands(closed, ...commands, { kind: 'send', message: { kind: 'handover' } });
}

/** Cancels the generation that another VM started, after it was replaced. */
export function cancelForeignGeneration(state: SessionState): Step {
  return chainStep(unchanged({ ...state, foreignGeneration: undefined }), (next) =>
    appendCommands(unchanged(next), ...createCancelForeignCommands(state)),
  );
}

function createCancelForeignCommands(state: SessionState): SessionCommand[] {
  if (state.foreignGeneration === undefined) {
    return [];
  }
  const { targetId, generationId } = state.foreignGeneration;
  return [{ kind: 'cancel-foreign', targetId, generationId, attempt: state.lastAttempt }];
}

function markDone(state: SessionState): SessionState {
  return { ...state, phase: 'done' };
}
