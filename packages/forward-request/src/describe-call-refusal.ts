/** Chooses the error for the caller of a call that got no answer. */
import { LimeleadError } from '@limelead/errors';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import createShutdownError from './create-shutdown-error.js';
import { QUARANTINED_MESSAGE } from './limits.js';
import reportRefusal, { REFUSAL_MESSAGE } from './report-refusal.js';
import type { SlotRefusal } from './slot-refusal.js';

/** Why a call ends without an answer. */
export interface UnansweredCall {
  /** Time until the quarantine of the request ends; undefined if it is not quarantined. */
  quarantineLeftMs: number | undefined;
  /** Reason why no further attempt was possible, if one was refused. */
  refusal: SlotRefusal | undefined;
  /** Whether a target may have run the call; then it is never reported as not run. */
  mayHaveRun: boolean;
  isOverdue: boolean;
  isShuttingDown: boolean;
}

/** Returns the error and logs a refusal. */
export default function describeCallRefusal(
  context: ForwardContext,
  admitted: AdmittedRequest,
  { quarantineLeftMs, refusal, mayHaveRun, isOverdue, isShuttingDown }: UnansweredCall,
): LimeleadError {
  if (isShuttingDown) {
    return createShutdownError(mayHaveRun);
  }
  const execution = mayHaveRun ? ('unknown' as const) : undefined;
  if (quarantineLeftMs !== undefined) {
    return new LimeleadError('quarantined', QUARANTINED_MESSAGE, {
      execution,
      retryAfterMs: quarantineLeftMs,
    });
  }
  if (refusal !== undefined) {
    const overrides = reportRefusal(context, admitted, refusal);
    return new LimeleadError('overloaded', REFUSAL_MESSAGE, { ...overrides, execution });
  }
  if (!mayHaveRun) {
    return new LimeleadError('no-target', 'no target accepted the request');
  }
  return isOverdue
    ? new LimeleadError('deadline-passed', 'no answer arrived before the deadline')
    : new LimeleadError('outcome-unknown', 'the answer of the target was lost');
}
