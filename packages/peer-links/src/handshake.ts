/** Both ends of a link prove that they know the shared secret, without sending it. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { PROTOCOL_VERSION, type HandshakeMessage } from './messages.js';

const NONCE_BYTES = 16;

type Hello = Extract<HandshakeMessage, { kind: 'hello' }>;

/** Which end of the link somebody is; part of the proof, so that it can't be played back. */
export type LinkEnd = 'opener' | 'acceptor';

/** Creates the first message of either end. */
export function createHello(id: string, incarnation: string): Hello {
  const nonce = randomBytes(NONCE_BYTES).toString('base64url');
  return { kind: 'hello', version: PROTOCOL_VERSION, id, incarnation, nonce };
}

/** Proof of the end `prover`, over both ends' first messages. */
export function createProof(
  secret: string,
  prover: LinkEnd,
  openerHello: Hello,
  acceptorHello: Hello,
): string {
  const subject = JSON.stringify([prover, openerHello, acceptorHello].map(sortKeys));
  return createHmac('sha256', secret).update(subject).digest('base64url');
}

/** Compares proofs in constant time. */
export function isSameProof(expected: string, given: string): boolean {
  const a = Buffer.from(expected);
  const b = Buffer.from(given);
  return a.length === b.length && timingSafeEqual(a, b);
}

function sortKeys(value: LinkEnd | Hello): string | string[] {
  return typeof value === 'string'
    ? value
    : [value.kind, String(value.version), value.id, value.incarnation, value.nonce];
}
