/** Signed handles that let a caller resume an answer through another VM. */
import { LimeleadError } from '@limelead/errors';
import type { GenerationRequest, ResumePoint } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import { Packr } from 'msgpackr';
import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

const TRUNCATED_MAC_BYTES = 16;
const TRUNCATED_DIGEST_BYTES = 12;
/** Longer handles are rejected before they are decoded. */
const MAX_HANDLE_CHARACTERS = 2_048;

// Records share structures between messages, but a handle must be decodable on its own.
const packr = new Packr({ useRecords: false });

const contentCodec = t.type({
  organisation: t.string,
  requestId: t.string,
  /** Binds the handle to the service, prompt and maximum length of its request. */
  requestDigest: t.string,
  point: t.type({
    binding: t.type({
      modelVersion: t.type({ model: t.string, adapter: t.string, version: t.string }),
      seed: t.number,
    }),
    targetId: t.string,
    generationId: t.string,
    attempt: t.number,
    deadlineAtMs: t.union([t.number, t.undefined]),
  }),
});

/** Fields of a request that a handle is bound to. */
export type HandleSubject = Pick<
  GenerationRequest,
  'organisation' | 'requestId' | 'service' | 'prompt' | 'maxTokens'
>;

/** Signs and verifies handles with the secret that all VMs share. */
export interface HandleSigner {
  sign(subject: HandleSubject, point: ResumePoint): string;
  /** Returns the resume point; Left if the handle is invalid or belongs to another request. */
  verify(handle: string, subject: HandleSubject): E.Either<LimeleadError, ResumePoint>;
}

/** Creates a handle signer. */
export default function createHandleSigner(secret: string): HandleSigner {
  // Several handles are signed per request, so the digest of a long prompt is cached.
  const digests = new WeakMap<HandleSubject, string>();

  function getRequestDigest(subject: HandleSubject): string {
    const digest = digests.get(subject) ?? computeRequestDigest(subject);
    digests.set(subject, digest);
    return digest;
  }

  function sign(subject: HandleSubject, point: ResumePoint): string {
    const { organisation, requestId } = subject;
    const content = { organisation, requestId, requestDigest: getRequestDigest(subject), point };
    const payload = packr.pack(content);
    return Buffer.concat([computeMac(secret, payload), payload]).toString('base64url');
  }

  function verify(handle: string, subject: HandleSubject): E.Either<LimeleadError, ResumePoint> {
    const payload = verifySignature(secret, handle);
    const content = payload === undefined ? undefined : decodePayload(payload);
    if (content === undefined) {
      return rejectHandle('the handle is malformed or has an invalid signature');
    }
    const isSameRequest =
      content.organisation === subject.organisation && content.requestId === subject.requestId;
    if (!isSameRequest || content.requestDigest !== getRequestDigest(subject)) {
      return rejectHandle('the handle belongs to another request');
    }
    return E.right(content.point);
  }

  return { sign, verify };
}

function verifySignature(secret: string, handle: string): Buffer | undefined {
  if (handle.length > MAX_HANDLE_CHARACTERS) {
    return undefined;
  }
  const bytes = Buffer.from(handle, 'base64url');
  if (bytes.length <= TRUNCATED_MAC_BYTES) {
    return undefined;
  }
  const payload = bytes.subarray(TRUNCATED_MAC_BYTES);
  const isValid = timingSafeEqual(
    bytes.subarray(0, TRUNCATED_MAC_BYTES),
    computeMac(secret, payload),
  );
  return isValid ? payload : undefined;
}

function decodePayload(payload: Buffer): t.TypeOf<typeof contentCodec> | undefined {
  const decoded = contentCodec.decode(packr.unpack(payload));
  return E.isRight(decoded) ? decoded.right : undefined;
}

function computeMac(secret: string, payload: Uint8Array): Buffer {
  return createHmac('sha256', secret).update(payload).digest().subarray(0, TRUNCATED_MAC_BYTES);
}

function computeRequestDigest({ service, prompt, maxTokens }: HandleSubject): string {
  const hash = createHash('sha256')
    .update(JSON.stringify([service, maxTokens]))
    .update(prompt);
  return hash.digest().subarray(0, TRUNCATED_DIGEST_BYTES).toString('base64url');
}

function rejectHandle(message: string): E.Either<LimeleadError, never> {
  return E.left(new LimeleadError('handle-invalid', message));
}
