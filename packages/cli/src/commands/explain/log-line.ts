/** Decodes the gateway's log lines. */
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

/** The fields that every log line has; other fields depend on the event. */
const lineCodec = t.intersection([
  t.type({ steadyMs: t.number, vm: t.string, event: t.string }),
  t.UnknownRecord,
]);

/** One decoded log line. */
export type LogLine = t.TypeOf<typeof lineCodec>;

/** Decodes a log line; undefined for text that is none, such as lines of other programs. */
export default function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    const decoded = lineCodec.decode(JSON.parse(text.slice(start)));
    return E.isRight(decoded) ? decoded.right : undefined;
  } catch {
    return undefined;
  }
}
