/** A request that is kept from targets, as an item of the store, in the product's own shape. */
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

const quarantineCodec = t.type({ service: t.string });

/** What the item says; its key names the request. */
export type Quarantine = t.TypeOf<typeof quarantineCodec>;

/** The item's value. */
export default function writeQuarantine(quarantine: Quarantine): Buffer {
  return Buffer.from(JSON.stringify(quarantine));
}

/** What the value says; undefined where it makes no sense. */
export function readQuarantine(value: Buffer): Quarantine | undefined {
  try {
    const decoded = quarantineCodec.decode(JSON.parse(value.toString('utf8')));
    return E.isRight(decoded) ? decoded.right : undefined;
  } catch {
    return undefined;
  }
}
