/** Identity of an admitted request, equal for each time that the caller sends it. */
import {
  identifyRequest,
  type IdentifiedRequest,
  type RequestIdentity,
} from '@limelead/quarantine-requests';
import type { AdmittedRequest } from './admitted-request.js';

/** Selects the fields that identify the request. */
export function selectIdentityFields({
  organisation,
  route,
  request,
}: AdmittedRequest): IdentifiedRequest {
  const { method, path, body } = request;
  return { organisation, host: route.host, method, path, body };
}

/** Returns the hash of the identifying fields. */
export default function identifyAdmittedRequest(admitted: AdmittedRequest): RequestIdentity {
  return identifyRequest(selectIdentityFields(admitted));
}
