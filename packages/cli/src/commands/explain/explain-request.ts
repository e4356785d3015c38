/** Explains how one request was served from the gateway's log lines. */
import describeReason, { describeResume } from './describe-reason.js';
import findServiceStates, { isServiceState } from './find-service-state.js';
import parseLogLine, { type LogLine } from './log-line.js';

/** Fields that are left out of the list of fields of a step. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'steadyMs',
  'vm',
  'event',
  'requestId',
]);

/** The steps, reasons and the outcome of one request. */
export interface RequestExplanation {
  /** One description per log line, in the order of the lines. */
  steps: string[];
  /** Why the request waited, was refused or was moved, without repeats; states of its service first. */
  reasons: string[];
  /** Outcome from the last line that ends the request; undefined if there is none. */
  outcome?: string;
}

/** Whether a log line may be needed to explain a request. */
export function isRelevantLine(requestId: string, text: string): boolean {
  return text.includes(requestId) || isServiceState(text);
}

/**
 * Explains a request from the log lines of several VMs.
 * @returns an explanation without steps if no line belongs to the request
 */
export default function explainRequest(
  requestId: string,
  lines: Iterable<string>,
): RequestExplanation {
  const parsed = [...lines]
    .filter((text) => isRelevantLine(requestId, text))
    .flatMap((text) => parseLogLine(text) ?? []);
  const found = parsed.filter((line) => line['requestId'] === requestId);
  const states = findServiceStates(found, parsed);
  const resumes = parsed.filter((line) => isResume(line, requestId));
  const reasons = [
    ...[...states, ...found].flatMap((line) => describeReason(line) ?? []),
    ...resumes.map(describeResume),
  ];
  const startedAtMs = found[0]?.steadyMs ?? 0;
  const end = found.filter(({ event }) => isEnd(event)).at(-1);
  return {
    steps: found.map((line) => describeStep(line, startedAtMs)),
    reasons: [...new Set(reasons)],
    outcome: end && describeOutcome(end),
  };
}

function describeStep(line: LogLine, startedAtMs: number): string {
  const fields = Object.entries(line)
    .filter(([name, value]) => !COMMON_FIELDS.has(name) && value !== '')
    .map(([name, value]) => `${name} ${String(value)}`);
  const afterMs = `+${Math.round(line.steadyMs - startedAtMs)} ms`;
  return [afterMs.padStart(10), line.vm, line.event, fields.join(', ')].join('  ').trimEnd();
}

/** Whether another request resumes the stream that this one began. */
function isResume({ event, ...fields }: LogLine, requestId: string): boolean {
  return (
    event === 'stream-resume-requested' &&
    fields['firstAttemptId'] === requestId &&
    fields['requestId'] !== requestId
  );
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
