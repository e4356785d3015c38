/** Identifies a request by the parts that stay the same when its caller repeats it. */
import { createHash } from 'node:crypto';

/** Bytes of the hash that are kept: 128 bits make collisions negligible. */
const IDENTITY_BYTES = 16;

/** Identity of a request, the same for every repetition of it; 32 hexadecimal digits. */
export type RequestIdentity = string;

/** Identity of a caller on one route; 32 hexadecimal digits. */
export type CallerIdentity = string;

/**
 * Parts that identify a request. Ids, deadlines and resume positions differ between repetitions and
 * are left out.
 */
export interface IdentifiedRequest {
  /** Organisation of the caller; undefined on routes that are open to all. */
  organisation?: string;
  host: string;
  method: string;
  /** Includes the query. */
  path: string;
  /** The whole body. */
  body: Buffer;
}

export default function identifyRequest(request: IdentifiedRequest): RequestIdentity {
  const { organisation = '', host, method, path, body } = request;
  return hashParts([organisation, host, method, path], body);
}

/** Identifies a caller on one route, whatever it sends there. */
export function identifyCaller(organisation: string | undefined, route: string): CallerIdentity {
  return hashParts([organisation ?? '', route], Buffer.alloc(0));
}

/** Hashes the parts with their lengths, so that different divisions of the same text differ. */
function hashParts(parts: string[], rest: Buffer): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${part.length}:${part}`));
  const digest = hash.update(rest).digest('hex');
  return digest.slice(0, IDENTITY_BYTES * 2);
}
