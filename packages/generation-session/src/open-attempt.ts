/** Steps that open another attempt. */
import type { ModelVersion } from '@limelead/types';
import type { SessionCommand } from './messages.js';
import type { Attempt, SessionState } from './state.js';
import type { Step } from './step.js';

/** Opens an attempt on a target that is still to be chosen. */
export function openElsewhere(state: SessionState): Step {
  const number = state.lastAttempt + 1;
  const attempt = createAttempt(state, number);
  const next: SessionState = {
    ...state,
    lastAttempt: number,
    attempts: [...state.attempts, attempt],
  };
  return { state: next, commands: [chooseTarget(next, number)] };
}

/** Opens an attempt that reads a running generation again. */
export function openAttach(
  state: SessionState,
  running: Pick<Attempt, 'targetId' | 'generationId' | 'binding'>,
  number: number = state.lastAttempt + 1,
): Step {
  const { targetId, generationId, binding } = running;
  const attempt: Attempt = {
    ...createAttempt(state, number),
    targetId,
    generationId,
    binding,
    status: 'opening',
    attached: true,
  };
  return {
    state: {
      ...state,
      lastAttempt: number,
      attachTried: true,
      attempts: [...state.attempts, attempt],
    },
    commands: [
      {
        kind: 'attach',
        attempt: number,
        targetId,
        generationId,
        fromOffset: state.delivered,
      },
    ],
  };
}

/** The command that looks for a target for an attempt. */
export function chooseTarget(state: SessionState, attempt: number): SessionCommand {
  return {
    kind: 'choose-target',
    attempt,
    modelVersion: requiredVersion(state),
    exclude: state.excluded,
  };
}

/** Once a token was delivered, only the version that the answer began with will do. */
function requiredVersion(state: SessionState): ModelVersion | undefined {
  return state.delivered > 0 ? state.binding?.modelVersion : undefined;
}

function createAttempt(state: SessionState, number: number): Attempt {
  return {
    number,
    status: 'choosing',
    targetId: '',
    generationId: `${state.generationPrefix}-${number}`,
    attached: false,
    failedChoices: 0,
    waits: 0,
  };
}
