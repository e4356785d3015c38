/** Encodes quarantined requests as store items. */
import type { Quarantine } from '@limelead/quarantine-requests';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

/** The item's value; its key holds the request's identity. */
const quarantineCodec: t.Type<Quarantine, unknown> = t.type({
  service: t.string,
  caller: t.string,
});

/** Encodes a quarantine as the value of its item. */
export default function encodeQuarantine(quarantine: Quarantine): Buffer {
  return Buffer.from(JSON.stringify(quarantine));
}

/** Decodes the value of an item; undefined if it is invalid. */
export function decodeQuarantine(value: Buffer): Quarantine | undefined {
  try {
    const decoded = quarantineCodec.decode(JSON.parse(value.toString('utf8')));
    return E.isRight(decoded) ? decoded.right : undefined;
  } catch {
    return undefined;
  }
}
