/** Names a request by what stays the same each time that its caller sends it. */
import { createHash } from 'node:crypto';

/** Bytes of the hash that are kept: 128 bits, so that no two requests meet by chance. */
const IDENTITY_BYTES = 16;

/** Same for two sendings of one request; a text of 32 hexadecimal digits. */
export type RequestIdentity = string;

/** Same for all requests of one caller on one route; a text of the same form. */
export type CallerIdentity = string;

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
  return hashParts([organisation, host, method, path], body);
}

/** Names a caller on one route, whatever it sends there. */
export function identifyCaller(organisation: string | undefined, route: string): CallerIdentity {
  return hashParts([organisation ?? '', route], Buffer.alloc(0));
}

/** Lengths keep the parts apart, so that none can pass for the end of another. */
function hashParts(parts: string[], rest: Buffer): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${part.length}:${part}`));
  const digest = hash.update(rest).digest('hex');
  return digest.slice(0, IDENTITY_BYTES * 2);
}
