/** The identity of a request behind the filters. */
import { identifyRequest, type RequestIdentity } from '@limelead/quarantine-requests';
import type { AdmittedRequest } from './admitted-request.js';

/** Gives it. */
export default function identifyAdmitted(admitted: AdmittedRequest): RequestIdentity {
  const { organisation, route, request } = admitted;
  const { method, path, body } = request;
  return identifyRequest({ organisation, host: route.host, method, path, body });
}
