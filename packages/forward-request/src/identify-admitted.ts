/** What a request behind the filters is known by each time that its caller sends it. */
import {
  identifyRequest,
  type IdentifiedRequest,
  type RequestIdentity,
} from '@limelead/quarantine-requests';
import type { AdmittedRequest } from './admitted-request.js';

/** The parts of the request by which it is known. */
export function describeIdentity({
  organisation,
  route,
  request,
}: AdmittedRequest): IdentifiedRequest {
  const { method, path, body } = request;
  return { organisation, host: route.host, method, path, body };
}

/** Hashes them. */
export default function identifyAdmitted(admitted: AdmittedRequest): RequestIdentity {
  return identifyRequest(describeIdentity(admitted));
}
