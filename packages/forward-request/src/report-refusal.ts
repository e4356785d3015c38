/** Logs and counts requests that are refused because no slot is available in time. */
import type { ErrorAnswerOverrides } from '@limelead/errors';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import type { SlotRefusal } from './slot-refusal.js';

/** Error message for the caller. */
export const REFUSAL_MESSAGE = 'no target accepts the request before its deadline';

/** Logs the refusal and returns the fields that it adds to the error answer. */
export default function reportRefusal(
  { clock, log, metrics }: Pick<ForwardContext, 'clock' | 'log' | 'metrics'>,
  { request, service, dueAtMs }: AdmittedRequest,
  refusal: SlotRefusal,
): ErrorAnswerOverrides {
  const { retryAfterMs } = refusal;
  if (refusal.kind === 'no-retry') {
    return { retryAfterMs };
  }
  const fields = {
    requestId: request.requestId,
    service,
    leftMs: Math.round(dueAtMs - clock.now()),
    retryAfterMs: Math.round(retryAfterMs),
  };
  if (refusal.kind === 'cooling') {
    metrics.count('limelead_refused_for_cooldown_total');
    log.write('cooldown-refused', { ...fields, targets: refusal.targets });
  } else if (refusal.kind === 'too-large') {
    const { promptTokens, capacityTokens } = refusal;
    metrics.count('limelead_refused_too_large_total');
    log.write('too-large-refused', { ...fields, promptTokens, capacityTokens });
  } else if (refusal.kind === 'no-version') {
    metrics.count('limelead_streams_without_version_total', 1, { reason: 'gone' });
    log.write('version-gone', fields);
  } else {
    const event = refusal.kind === 'no-place' ? 'queue-refused' : 'permit-refused';
    log.write(event, { ...fields, grantedBy: refusal.grantedBy });
  }
  return { retryAfterMs };
}
