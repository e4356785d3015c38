/** Explains how one request was served from the gateway's log lines. */
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

/** The fields that every log line has; other fields depend on the event. */
const lineCodec = t.intersection([
  t.type({ steadyMs: t.number, vm: t.string, event: t.string }),
  t.UnknownRecord,
]);

type LogLine = t.TypeOf<typeof lineCodec>;

/** Fields that are left out of the list of fields of a step. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'steadyMs',
  'vm',
  'event',
  'requestId',
]);

/** The steps and the outcome of one request. */
export interface RequestExplanation {
  /** One description per log line, in the order of the lines. */
  steps: string[];
  /** Outcome from the last line that ends the request; undefined if there is none. */
  outcome?: string;
}

/**
 * Explains a request from the log lines of several VMs.
 * @returns an explanation without steps if no line belongs to the request
 */
export default function explainRequest(
  requestId: string,
  lines: Iterable<string>,
): RequestExplanation {
  const found = [...lines].flatMap((text) => parseLine(text, requestId));
  const startedAtMs = found[0]?.steadyMs ?? 0;
  const end = found.filter(({ event }) => isEnd(event)).at(-1);
  return {
    steps: found.map((line) => describeStep(line, startedAtMs)),
    outcome: end && describeOutcome(end),
  };
}

/** Parses a log line; returns an empty list for lines of other programs and requests. */
function parseLine(text: string, requestId: string): LogLine[] {
  const start = text.indexOf('{');
  if (start < 0 || !text.includes(requestId)) {
    return [];
  }
  try {
    const decoded = lineCodec.decode(JSON.parse(text.slice(start)));
    return E.isRight(decoded) && decoded.right['requestId'] === requestId ? [decoded.right] : [];
  } catch {
    return [];
  }
}

function describeStep(line: LogLine, startedAtMs: number): string {
  const fields = Object.entries(line)
    .filter(([name, value]) => !COMMON_FIELDS.has(name) && value !== '')
    .map(([name, value]) => `${name} ${String(value)}`);
  const afterMs = `+${Math.round(line.steadyMs - startedAtMs)} ms`;
  return [afterMs.padStart(10), line.vm, line.event, fields.join(', ')].join('  ').trimEnd();
}

function isEnd(event: string): boolean {
  return event.endsWith('-finished') || event === 'request-refused';
}

function describeOutcome(line: LogLine): string {
  const { event, outcome, kind, status, reason, sends, attempts } = line;
  if (event === 'request-refused') {
    return `refused with ${String(status)} (${String(kind)}): ${String(reason)}`;
  }
  const statusText = typeof status === 'number' ? `, status ${status}` : '';
  return `${String(outcome)}${statusText}, sent ${String(sends ?? attempts)} times`;
}
