/** The agreed step as an item of the store, in the product's own shape. */
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import type { AgreedStep } from './types.js';

/** Keys of the items begin so; the service's name follows. */
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

/** Key of the item of a service. */
export function stepKey(service: string): string {
  return `${STEP_KEY_PREFIX}${service}`;
}

/** The item's value. */
export function encodeStep(agreed: AgreedStep): Buffer {
  return Buffer.from(JSON.stringify(agreed));
}

/** The step; undefined where the value holds none. */
export function decodeStep(value: Buffer): AgreedStep | undefined {
  try {
    const decoded = stepCodec.decode(JSON.parse(value.toString('utf8')));
    return E.isRight(decoded) ? decoded.right : undefined;
  } catch {
    return undefined;
  }
}
