/** Signed handles with which a caller continues an answer through another VM. */
import { LimeleadError } from '@limelead/errors';
import type { GenerationRequest, ResumePoint } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import { Packr } from 'msgpackr';
import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

const TRUNCATED_MAC_BYTES = 16;
const TRUNCATED_DIGEST_BYTES = 12;
/** Handles longer than this are refused before anything is computed. */
const MAX_HANDLE_CHARACTERS = 2_048;

// Records would share structures between messages; a handle has to stand alone.
const packr = new Packr({ useRecords: false });

const contentCodec = t.type({
  organisation: t.string,
  requestId: t.string,
  /** Ties the handle to service, prompt and length, so that it can't continue another request. */
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

/** The parts of a request that a handle is tied to. */
export type HandleSubject = Pick<
  GenerationRequest,
  'organisation' | 'requestId' | 'service' | 'prompt' | 'maxTokens'
>;

/** Signs and checks handles with the secret that all VMs share. */
export interface HandleSigner {
  sign(subject: HandleSubject, point: ResumePoint): string;
  /** Gives the resume point of a handle of this very request. */
  verify(handle: string, subject: HandleSubject): E.Either<LimeleadError, ResumePoint>;
}

/** Creates a signer. */
export default function createHandleSigner(secret: string): HandleSigner {
  // One request signs several handles; hashing a long prompt once is enough.
  const digests = new WeakMap<HandleSubject, string>();

  function digestOf(subject: HandleSubject): string {
    const known = digests.get(subject) ?? computeRequestDigest(subject);
    digests.set(subject, known);
    return known;
  }

  function sign(subject: HandleSubject, point: ResumePoint): string {
    const { organisation, requestId } = subject;
    const content = { organisation, requestId, requestDigest: digestOf(subject), point };
    const payload = packr.pack(content);
    return Buffer.concat([computeMac(secret, payload), payload]).toString('base64url');
  }

  function verify(handle: string, subject: HandleSubject): E.Either<LimeleadError, ResumePoint> {
    const payload = verifySignature(secret, handle);
    const content = payload === undefined ? undefined : decodePayload(payload);
    if (content === undefined) {
      return rejectHandle('the handle is not one of this system');
    }
    const isOwn =
      content.organisation === subject.organisation && content.requestId === subject.requestId;
    if (!isOwn || content.requestDigest !== digestOf(subject)) {
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
  const isGenuine = timingSafeEqual(
    bytes.subarray(0, TRUNCATED_MAC_BYTES),
    computeMac(secret, payload),
  );
  return isGenuine ? payload : undefined;
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
