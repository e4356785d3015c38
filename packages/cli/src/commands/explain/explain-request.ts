/** Tells the way of one request from the gateway's log lines, pure. */
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

/** The part of a log line that every line has; what else it holds depends on the event. */
const lineCodec = t.intersection([
  t.type({ steadyMs: t.number, vm: t.string, event: t.string }),
  t.UnknownRecord,
]);

type LogLine = t.TypeOf<typeof lineCodec>;

/** Fields that every line has, or that are the same in all lines of a request. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'steadyMs',
  'vm',
  'event',
  'requestId',
]);

/** What is known of one request. */
export interface RequestExplanation {
  /** One text a line, in the order of the lines. */
  steps: string[];
  /** What the last line that ends a request says; undefined where none was found. */
  outcome?: string;
}

/**
 * Finds a request's lines among those of many VMs.
 * @returns the story without steps where no line names the request
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

/** Lines of other programs and of other requests give nothing. */
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
  const told = typeof status === 'number' ? `, status ${status}` : '';
  return `${String(outcome)}${told}, sent ${String(sends ?? attempts)} times`;
}
