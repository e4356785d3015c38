/** Encodes the recorded software versions of a service as a store item. */
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

const itemCodec = t.type({ versions: t.array(t.string) });

/** Encodes the versions as the value of the service's item. */
export default function encodeVersions(versions: readonly string[]): Buffer {
  return Buffer.from(JSON.stringify({ versions }));
}

/** Decodes the value of an item; undefined if it is invalid. */
export function decodeVersions(value: Buffer): string[] | undefined {
  try {
    const decoded = itemCodec.decode(JSON.parse(value.toString('utf8')));
    return E.isRight(decoded) ? decoded.right.versions : undefined;
  } catch {
    return undefined;
  }
}
