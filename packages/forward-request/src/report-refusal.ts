/** Says why a request got no permit for any target that could serve it in time. */
import type { AnswerOverrides } from '@limelead/errors';
import type { PermitRefusal } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';

/** What callers are told. */
export const NO_PERMIT_MESSAGE = 'the targets take no more requests before the deadline';

/** Writes the line; gives what the answer says beside its kind. */
export default function reportRefusal(
  { clock, log }: Pick<ForwardContext, 'clock' | 'log'>,
  { request, service, dueAtMs }: AdmittedRequest,
  { retryAfterMs, grantedBy }: PermitRefusal,
): AnswerOverrides {
  log.write('permit-refused', {
    requestId: request.requestId,
    service,
    grantedBy,
    leftMs: Math.round(dueAtMs - clock.now()),
    retryAfterMs: Math.round(retryAfterMs),
  });
  return { retryAfterMs };
}
