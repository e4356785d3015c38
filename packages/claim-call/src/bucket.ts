/** Buckets of claims, as plain data. */
import type { Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import { createHash } from 'node:crypto';

/** Buckets over which claims are spread; each is one value of the platform's service. */
export const BUCKET_COUNT = 16;

/**
 * Claims are kept this long after the last moment at which their call may be
 * started. It has to exceed the difference between any two VMs' clocks.
 */
export const CLAIM_RETENTION_MS = 30_000;

const CLAIM_KEY_BYTES = 16;

/** One claim: who alone may send the call, and until when it may be started. */
export interface Claim {
  call: string;
  holder: string;
  notAfterMs: Millis;
}

/** The value of one bucket. */
export interface Bucket {
  claims: Claim[];
}

const bucketCodec: t.Type<Bucket, unknown> = t.type({
  claims: t.array(t.type({ call: t.string, holder: t.string, notAfterMs: t.number })),
});

/** The name under which a call is claimed. */
export function deriveClaimKey(organisation: string, requestId: string): string {
  const hash = createHash('sha256')
    .update(JSON.stringify([organisation, requestId]))
    .digest();
  return hash.subarray(0, CLAIM_KEY_BYTES).toString('base64url');
}

/** Key of the bucket that holds a call's claim. */
export function deriveBucketKey(call: string): string {
  const index = Buffer.from(call, 'base64url').readUInt16BE(0) % BUCKET_COUNT;
  return `limelead/claims/${index}`;
}

/** Reads a bucket; undefined where the value does not hold. */
export function decodeBucket(value: string): Bucket | undefined {
  if (value === '') {
    return { claims: [] };
  }
  try {
    const decoded = bucketCodec.decode(JSON.parse(value));
    return E.isRight(decoded) ? decoded.right : undefined;
  } catch {
    return undefined;
  }
}

/** What a bucket becomes when some calls are claimed. */
export interface BucketUpdate {
  bucket: Bucket;
  /** The holder of each wanted call, in the order of `wanted`. */
  holders: string[];
  /** False where every wanted call was already held. */
  isChanged: boolean;
}

/** Pure decision: adds the wanted claims that nobody holds, and drops those that are long over. */
export function planClaims(bucket: Bucket, wanted: Claim[], now: Millis): BucketUpdate {
  const kept = bucket.claims.filter((claim) => now <= claim.notAfterMs + CLAIM_RETENTION_MS);
  const holders = new Map(kept.map((claim) => [claim.call, claim.holder]));
  const added: Claim[] = [];
  for (const claim of wanted) {
    if (!holders.has(claim.call)) {
      holders.set(claim.call, claim.holder);
      added.push(claim);
    }
  }
  return {
    bucket: { claims: [...kept, ...added] },
    holders: wanted.map((claim) => holders.get(claim.call) ?? claim.holder),
    isChanged: added.length > 0,
  };
}
