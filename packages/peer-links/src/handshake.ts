/**
 * Handshake in which both ends of a link prove that they know the shared secret without sending it.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { PROTOCOL_VERSION, type HandshakeMessage } from './messages.js';

const NONCE_BYTES = 16;

type Hello = Extract<HandshakeMessage, { kind: 'hello' }>;

/** End of a link; part of the proof, so that a proof cannot be replayed. */
export type LinkEnd = 'opener' | 'acceptor';

/** Creates the first message of either end. */
export function createHello(id: string, incarnation: string): Hello {
  const nonce = randomBytes(NONCE_BYTES).toString('base64url');
  return { kind: 'hello', version: PROTOCOL_VERSION, id, incarnation, nonce };
}

/** Computes the proof of the end `prover` over the first messages of both ends. */
export function createProof(
  secret: string,
  prover: LinkEnd,
  openerHello: Hello,
  acceptorHello: Hello,
): string {
  const content = JSON.stringify([prover, openerHello, acceptorHello].map(sortKeys));
  return createHmac('sha256', secret).update(content).digest('base64url');
}

export function isSameProof(expected: string, received: string): boolean {
  const a = Buffer.from(expected);
  const b = Buffer.from(received);
  return a.length === b.length && timingSafeEqual(a, b);
}

function sortKeys(value: LinkEnd | Hello): string | string[] {
  return typeof value === 'string'
    ? value
    : [value.kind, String(value.version), value.id, value.incarnation, value.nonce];
}
