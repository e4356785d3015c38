/** Encodes and decodes the agreed step as a stored item. */
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import type { AgreedStep } from './types.js';

/** Prefix of the items' keys; the service's name follows it. */
export const STEP_KEY_PREFIX = 'limelead/roll-out/';

const stepCodec = t.type({
  order: t.number,
  version: t.string,
  step: t.union([
    t.literal('trial'),
    t.literal('move'),
    t.literal('completed'),
    t.literal('rolled_back'),
  ]),
  replaces: t.array(t.string),
});

/** Returns the key of a service's item. */
export function stepKey(service: string): string {
  return `${STEP_KEY_PREFIX}${service}`;
}

/** Encodes a step as the value of its item. */
export function encodeStep(agreed: AgreedStep): Buffer {
  return Buffer.from(JSON.stringify(agreed));
}

/** Decodes a step; undefined if the value is not a valid step. */
export function decodeStep(value: Buffer): AgreedStep | undefined {
  try {
    const decoded = stepCodec.decode(JSON.parse(value.toString('utf8')));
    return E.isRight(decoded) ? decoded.right : undefined;
  } catch {
    return undefined;
  }
}
