/** Buckets of claims as stored in the key-value store. */
import type { Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import { createHash } from 'node:crypto';

/** Number of buckets that claims are distributed over; each bucket is one value in the store. */
export const BUCKET_COUNT = 16;

/**
 * How long claims are retained after the latest start time of their call.
 * Must exceed the clock skew between any two VMs.
 */
export const CLAIM_RETENTION_MS = 30_000;

const CLAIM_KEY_BYTES = 16;

/** Exclusive right of one holder to send a call until its latest start time. */
export interface Claim {
  call: string;
  holder: string;
  notAfterMs: Millis;
}

/** Stored value of one bucket. */
export interface Bucket {
  claims: Claim[];
}

const bucketCodec: t.Type<Bucket, unknown> = t.type({
  claims: t.array(t.type({ call: t.string, holder: t.string, notAfterMs: t.number })),
});

/** Derives the key that identifies a call in its claim. */
export function deriveClaimKey(organisation: string, requestId: string): string {
  const hash = createHash('sha256')
    .update(JSON.stringify([organisation, requestId]))
    .digest();
  return hash.subarray(0, CLAIM_KEY_BYTES).toString('base64url');
}

/** Derives the store key of the bucket that holds a call's claim. */
export function deriveBucketKey(call: string): string {
  const index = Buffer.from(call, 'base64url').readUInt16BE(0) % BUCKET_COUNT;
  return `limelead/claims/${index}`;
}

/** Decodes a bucket; undefined if the value is malformed. */
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

/** Result of claiming calls in a bucket. */
export interface BucketUpdate {
  bucket: Bucket;
  /** Holder of each wanted call, in the order of `wanted`. */
  holders: string[];
  /** False if every wanted call was already claimed. */
  isChanged: boolean;
}

/** Adds the wanted claims of calls without a holder, and removes expired claims. Pure. */
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
