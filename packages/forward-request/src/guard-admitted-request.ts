import type { GuardedRequest } from '@limelead/quarantine-requests';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import { selectIdentityFields } from './identify-admitted-request.js';

/** Starts to track the runs of a request; `onQuarantined` is called if it must not run any more. */
export default function guardAdmittedRequest(
  { guard }: Pick<ForwardContext, 'guard'>,
  admitted: AdmittedRequest,
  onQuarantined: () => void,
): GuardedRequest {
  return guard.guardRequest({
    request: selectIdentityFields(admitted),
    route: admitted.route.name,
    requestId: admitted.request.requestId,
    onQuarantined,
  });
}
