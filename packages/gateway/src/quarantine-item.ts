/** A request that is kept from targets, as an item of the store, in the product's own shape. */
import type { Quarantine } from '@limelead/quarantine-requests';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

/** What the item says; its key names the request. */
const quarantineCodec: t.Type<Quarantine, unknown> = t.type({
  service: t.string,
  caller: t.string,
});

/** The item's value. */
export default function encodeQuarantine(quarantine: Quarantine): Buffer {
  return Buffer.from(JSON.stringify(quarantine));
}

/** What the value says; undefined where it makes no sense. */
export function decodeQuarantine(value: Buffer): Quarantine | undefined {
  try {
    const decoded = quarantineCodec.decode(JSON.parse(value.toString('utf8')));
    return E.isRight(decoded) ? decoded.right : undefined;
  } catch {
    return undefined;
  }
}
