/** Reports an admitted request to the observer, unless another VM is about to count it. */
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';

export default function reportAdmitted(
  { observer, relay }: Pick<ForwardContext, 'observer' | 'relay'>,
  admitted: AdmittedRequest,
): void {
  if (!relay.isNeeded(admitted)) {
    observer.onAdmitted?.(admitted);
  }
}
