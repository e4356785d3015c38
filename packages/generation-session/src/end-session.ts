/** Steps that end a session. Nothing follows them. */
import type { ErrorKind } from '@limelead/errors';
import type { FinishReason } from '@limelead/types';
import type { SessionCommand } from './messages.js';
import type { SessionState } from './state.js';
import { andThen, cancelAttempts, removeAttempt, stay, withCommands, type Step } from './step.js';

/** The answer is whole. */
export function finish(state: SessionState, attempt: number, reason: FinishReason): Step {
  const others = cancelAttempts(state, ({ number }) => number !== attempt);
  const { delivered: length, recoveries } = state;
  return withCommands(
    { ...others, state: close(removeAttempt(others.state, attempt)) },
    ...cancelForeign(state),
    { kind: 'observe', detail: { kind: 'answerFinished', length, recoveries } },
    { kind: 'send', message: { kind: 'finished', length, reason, recoveries } },
  );
}

/** The generation is given up; its caller is told at once. */
export function fail(state: SessionState, error: ErrorKind, message: string): Step {
  const cancelled = cancelAttempts(state);
  return withCommands({ ...cancelled, state: close(cancelled.state) }, ...cancelForeign(state), {
    kind: 'fail',
    error,
    message,
  });
}

/** The caller goes on through another VM, which attaches to the running generation. */
export function handOver(state: SessionState): Step {
  const commands: SessionCommand[] = state.attempts.map(({ number }) =>
    number === state.current
      ? { kind: 'detach-attempt', attempt: number }
      : { kind: 'cancel-attempt', attempt: number },
  );
  const closed = stay(close({ ...state, attempts: [] }));
  return withCommands(closed, ...commands, { kind: 'send', message: { kind: 'handover' } });
}

/** Forgets a generation of another VM once it is replaced, and cancels it. */
export function dropForeign(state: SessionState): Step {
  return andThen(stay({ ...state, foreign: undefined }), (next) =>
    withCommands(stay(next), ...cancelForeign(state)),
  );
}

function cancelForeign(state: SessionState): SessionCommand[] {
  if (state.foreign === undefined) {
    return [];
  }
  const { targetId, generationId } = state.foreign;
  return [{ kind: 'cancel-foreign', targetId, generationId, attempt: state.lastAttempt }];
}

function close(state: SessionState): SessionState {
  return { ...state, phase: 'done' };
}
