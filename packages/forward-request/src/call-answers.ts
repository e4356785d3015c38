/** What the answer to one attempt of a call means for its target and for further attempts. */
import type { AdmittedRequest } from './admitted-request.js';
import type CallAttempt from './call-attempt.js';
import type CallReport from './call-report.js';
import type { ForwardContext } from './context.js';
import { MIN_SERVER_ERROR_STATUS } from './limits.js';

export function recordCallAnswer(
  { directory }: Pick<ForwardContext, 'directory'>,
  report: CallReport,
  attempt: CallAttempt,
  isGood: boolean,
): void {
  directory.observe(attempt.target.id, { kind: isGood ? 'answered' : 'failed' });
  attempt.run?.recordAnswer(isGood);
  report.runStarted(attempt);
  report.attemptEnded(attempt, isGood);
}

/**
 * Whether an answer is a failure that another attempt may replace. A VM that relays has retried
 * already.
 */
export function isRetriableAnswer(
  { route }: Pick<AdmittedRequest, 'route'>,
  { isRelayed }: Pick<CallAttempt, 'isRelayed'>,
  status: number,
): boolean {
  return status >= MIN_SERVER_ERROR_STATUS && route.repeatable && !isRelayed;
}
