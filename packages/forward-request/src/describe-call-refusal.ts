/** The error answer for a call that no target answered. */
import { LimeleadError } from '@limelead/errors';
import type { GuardedRequest } from '@limelead/quarantine-requests';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import { QUARANTINED_MESSAGE } from './limits.js';
import reportRefusal, { REFUSAL_MESSAGE } from './report-refusal.js';
import type { SlotRefusal } from './slot-refusal.js';

/** How a call ended without an answer. */
export interface UnansweredCall {
  admitted: AdmittedRequest;
  guarded: Pick<GuardedRequest, 'quarantineLeftMs'>;
  isQuarantined: boolean;
  isOverdue: boolean;
  /** Attempts that a target may have run. */
  possibleRuns: number;
  refusal: SlotRefusal | undefined;
}

/** Logs a refusal for lack of a slot, and returns the error for the caller. */
export default function describeCallRefusal(
  context: Pick<ForwardContext, 'clock' | 'log' | 'metrics'>,
  { admitted, guarded, isQuarantined, isOverdue, possibleRuns, refusal }: UnansweredCall,
): LimeleadError {
  const execution = possibleRuns === 0 ? undefined : 'unknown';
  if (isQuarantined) {
    return new LimeleadError('quarantined', QUARANTINED_MESSAGE, {
      execution,
      retryAfterMs: guarded.quarantineLeftMs,
    });
  }
  if (refusal !== undefined) {
    return new LimeleadError('overloaded', REFUSAL_MESSAGE, {
      ...reportRefusal(context, admitted, refusal),
      execution,
    });
  }
  if (possibleRuns === 0) {
    return new LimeleadError('no-target', 'no target accepted the request');
  }
  return isOverdue
    ? new LimeleadError('deadline-passed', 'no answer arrived before the deadline')
    : new LimeleadError('outcome-unknown', 'the answer of the target was lost');
}
