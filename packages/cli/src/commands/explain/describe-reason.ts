/** Describes why a request waited, was refused or was moved. Pure. */
import type { LogLine } from './log-line.js';

type Describe = (line: Record<string, unknown>) => string;

function text(value: unknown): string {
  if (value === undefined) {
    return 'unknown';
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Reasons by the outcome of a `silence-judged` line; unknown outcomes are shown as they are. */
const SILENCE_OUTCOMES: Record<string, string> = {
  suspected: 'waited: the target is probed',
  kept: 'waited: the target answers and is slow, so the run stays',
  'target-lost': 'moved: the target is lost',
  'not-listed': 'moved: the target answered two probes without listing the run',
  'too-long': 'moved: the prompt was read for too long',
};

const SHORTAGES: Record<string, string> = {
  memory: 'no room in the memory',
  pace: 'too slow a pace',
  'body-bytes': 'too many bytes of request bodies in progress',
};

const PLACEMENT_OUTCOMES: Record<string, string> = {
  waits: 'waited for a target',
  'last-resort': 'sent to the emptiest target as the last resort, where it may preempt others',
  'no-replica': 'runs without a replica',
};

const ORIGIN_OUTCOMES: Record<string, string> = {
  known: 'goes on at software version',
  'only-version': 'nobody knows who began it; goes on at the only software version there has been,',
  unknown: 'refused: nobody that answered knows which software version began it',
};

const PAUSE_ENDS: Record<string, string> = {
  drained: 'the caller caught up',
  overdue: 'the longest allowed pause was reached',
  ended: 'the answer ended',
};

/** Descriptions by event; each takes the fields of that event's line. */
const DESCRIPTIONS: Record<string, Describe> = {
  'call-queued': ({ waitMs, position, service, outcome }) =>
    `waited ${text(waitMs)} ms for a place at service ${text(service)}, behind ${text(position)} calls of its VM: ${text(outcome)}`,
  'queue-refused': ({ service, leftMs, retryAfterMs, grantedBy }) =>
    `refused: no place at service ${text(service)} within the ${text(leftMs)} ms left; room is expected in ${text(retryAfterMs)} ms (decided by ${text(grantedBy)})`,
  'service-queued': ({ vm, service, slots, inProgress }) =>
    `service ${text(service)} is queued at VM ${text(vm)}: ${text(inProgress)} calls in progress at ${text(slots)} slots`,
  'call-queue-alone': ({ vm, service, queueVm }) =>
    `VM ${text(vm)} keeps to its own part of the slots of service ${text(service)}: queue VM ${text(queueVm)} does not answer`,
  'retry-waited': ({ waitedMs, class: retryClass, rank, outcome }) =>
    `waited ${text(waitedMs)} ms for a retry (class ${text(retryClass)}, rank ${text(rank)}): ${text(outcome)}`,
  'repeat-unpaid': ({ class: retryClass, service, attempts, retryAfterMs }) =>
    `refused a retry (class ${text(retryClass)}) after ${text(attempts)} attempts: the retry budget of service ${text(service)} has none in time; expected in ${text(retryAfterMs)} ms`,
  'silence-judged': ({ target, silentMs, limitMs, pace, outcome }) =>
    `${SILENCE_OUTCOMES[text(outcome)] ?? text(outcome)} (target ${text(target)}, silent for ${text(silentMs)} ms, limit ${text(limitMs)} ms, pace ${text(pace)})`,
  'placement-limited': ({ reason, outcome, candidates }) =>
    `${PLACEMENT_OUTCOMES[text(outcome)] ?? text(outcome)}: ${SHORTAGES[text(reason)] ?? text(reason)} at ${text(candidates)} candidates`,
  'too-large-refused': ({ promptTokens, capacityTokens }) =>
    `refused: the prompt of ${text(promptTokens)} tokens exceeds the memory of a target, ${text(capacityTokens)} tokens`,
  'stream-resume-requested': ({ firstAttemptId, lastPiece }) =>
    `resumes the stream that request ${text(firstAttemptId)} began, behind piece ${text(lastPiece)}`,
  'stream-origin': ({ outcome, softwareVersion, source, versions, isConfirmed, answers }) =>
    `${[ORIGIN_OUTCOMES[text(outcome)] ?? text(outcome), softwareVersion].join(' ').trimEnd()} (by ${text(source)}, versions ${text(versions)}${isConfirmed === true ? ' confirmed by the store' : ''}, ${text(answers)} answers of peers)`,
  'version-gone': ({ service }) =>
    `refused: no target of service ${text(service)} runs the software version that began the stream`,
  'answer-buffer-full': ({ bytes, totalBytes, outcome }) =>
    `${text(outcome)}: ${text(bytes)} bytes waited for the caller, ${text(totalBytes)} for all callers of the VM`,
  'reading-paused': ({ pausedMs, waitingBytes, outcome }) =>
    `waited: the caller read slowly, so the target was not read for ${text(pausedMs)} ms until ${PAUSE_ENDS[text(outcome)] ?? text(outcome)} (${text(waitingBytes)} bytes waiting)`,
};

/** Describes that a caller resumed, at any VM, a stream that the explained request began. */
export function describeResume({ vm, requestId, lastPiece }: LogLine): string {
  return `resumed as request ${text(requestId)} at VM ${vm}, behind piece ${text(lastPiece)}`;
}

/** Returns the reason that a log line states; undefined if its event states none. */
export default function describeReason(line: LogLine): string | undefined {
  return Object.hasOwn(DESCRIPTIONS, line.event) ? DESCRIPTIONS[line.event]?.(line) : undefined;
}
