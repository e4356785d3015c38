/** Names a request by what stays the same each time that its caller sends it. */
import { createHash } from 'node:crypto';

/** Bytes of the hash that are kept: 128 bits, so that no two requests meet by chance. */
const IDENTITY_BYTES = 16;

/** Same for two sendings of one request; a text of 32 hexadecimal digits. */
export type RequestIdentity = string;

/** What a request is known by. Ids, deadlines and where to resume differ from one sending to the next. */
export interface IdentifiedRequest {
  /** Organisation of the caller; undefined where the route is open to all. */
  organisation?: string;
  host: string;
  method: string;
  /** With the query. */
  path: string;
  /** The whole body. */
  body: Buffer;
}

/** Hashes the request. */
export default function identifyRequest(request: IdentifiedRequest): RequestIdentity {
  const { organisation = '', host, method, path, body } = request;
  const hash = createHash('sha256');
  // Lengths keep the parts apart, so that none can pass for the end of another.
  for (const part of [organisation, host, method, path]) {
    hash.update(`${part.length}:${part}`);
  }
  return hash
    .update(body)
    .digest('hex')
    .slice(0, IDENTITY_BYTES * 2);
}
