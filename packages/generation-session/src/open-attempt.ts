/** Steps that open a new attempt. */
import type { ModelVersion } from '@limelead/types';
import type { SessionCommand } from './messages.js';
import type { Attempt, SessionState } from './state.js';
import type { Step } from './step.js';

/** Opens an attempt and requests a target for it. */
export function openOnNewTarget(state: SessionState): Step {
  const number = state.lastAttempt + 1;
  const attempt = createAttempt(state, number);
  const next: SessionState = {
    ...state,
    lastAttempt: number,
    attempts: [...state.attempts, attempt],
  };
  return { state: next, commands: [createChooseTargetCommand(next, number)] };
}

/** Opens an attempt that attaches to a running generation. */
export function openAttachAttempt(
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
    isAttach: true,
  };
  return {
    state: {
      ...state,
      lastAttempt: number,
      attachAttempted: true,
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

/** Creates the command that chooses a target for an attempt. */
export function createChooseTargetCommand(state: SessionState, attempt: number): SessionCommand {
  return {
    kind: 'choose-target',
    attempt,
    modelVersion: getRequiredVersion(state),
    exclude: state.excludedTargets,
  };
}

/** Returns the version that must produce the rest of the answer; undefined before the first token. */
function getRequiredVersion(state: SessionState): ModelVersion | undefined {
  return state.delivered > 0 ? state.binding?.modelVersion : undefined;
}

function createAttempt(state: SessionState, number: number): Attempt {
  return {
    number,
    status: 'choosing',
    targetId: '',
    generationId: `${state.generationPrefix}-${number}`,
    isAttach: false,
    failedSelections: 0,
    consecutiveWaits: 0,
  };
}
