/** Decodes JSON of a message, which has no lines worth naming. */
import * as E from 'fp-ts/lib/Either.js';
import type * as t from 'io-ts';

/** Returns the decoded value, or the reason why it is unreadable. */
export default function decodeJson<Value>(
  bytes: Buffer,
  codec: t.Type<Value, unknown>,
): E.Either<string, Value> {
  try {
    const decoded = codec.decode(JSON.parse(bytes.toString('utf8')));
    return E.isRight(decoded) ? decoded : E.left(describeFirstError(decoded.left));
  } catch (thrown) {
    return E.left(String(thrown));
  }
}

/** Names the path of the first invalid value. */
function describeFirstError([first]: t.Errors): string {
  const path = (first?.context ?? []).map(({ key }) => key).filter((key) => key !== '');
  return `${path.join('.')} is invalid`;
}
