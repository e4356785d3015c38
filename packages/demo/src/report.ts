/** Creates the report of a demonstration from the records of callers and stand-ins. */
import { answerLength, tokenAt, type Engine, type TokenSource } from '@limelead/stand-ins';
import type { InjectedFault } from './fault-injector.js';
import type { AnswerRecord, CallRecord } from './run-request.js';

/** Results of a demonstration. */
export interface DemoReport {
  fault: string;
  seed: number;
  requests: number;
  /** Requests that ended with an error. */
  failed: { requestId: string; kind: string; message: string }[];
  tokensExpected: number;
  tokensDelivered: number;
  missing: number;
  repeated: number;
  mixed: number;
  nonRepeatableSent: number;
  nonRepeatableRunsMax: number;
  notRunButRan: number;
  /** Generations that began on a leaving engine after the grace period. */
  lateWorkOnLeaving: number;
  resumeLatencyMs: { count: number; p50: number; p95: number; max: number };
  extraPrefillTokens: number;
  extraDecodedTokens: number;
  faults: InjectedFault[];
  promisesHeld: boolean;
}

/** Input of the report. */
export interface DemoObservations {
  fault: string;
  seed: number;
  answers: AnswerRecord[];
  calls: CallRecord[];
  engines: Engine[];
  /** Counts the runs of a call over all plain services. */
  countRuns(requestId: string): number;
  lateWorkOnLeaving: number;
  faults: InjectedFault[];
}

/** Checks all answers and calls and creates the report. */
export default function assembleReport(observations: DemoObservations): DemoReport {
  const { answers, calls } = observations;
  const checks = answers.map(checkAnswer);
  const sum = (pick: (check: AnswerCheck) => number): number =>
    checks.reduce((total, check) => total + pick(check), 0);
  const runs = calls.map(({ request }) => observations.countRuns(request.requestId));
  const report = {
    fault: observations.fault,
    seed: observations.seed,
    requests: answers.length + calls.length,
    failed: listFailures([...answers, ...calls]),
    tokensExpected: sum((check) => check.expected),
    tokensDelivered: sum((check) => check.delivered),
    missing: sum((check) => check.missing),
    repeated: sum((check) => check.repeated),
    mixed: sum((check) => check.mixed),
    nonRepeatableSent: calls.length,
    nonRepeatableRunsMax: Math.max(0, ...runs),
    notRunButRan: calls.filter(
      (call) => isReportedNotRun(call) && observations.countRuns(call.request.requestId) > 0,
    ).length,
    lateWorkOnLeaving: observations.lateWorkOnLeaving,
    resumeLatencyMs: summarize(answers.flatMap(({ resumeLatenciesMs }) => resumeLatenciesMs)),
    ...countExtraWork(observations),
    faults: observations.faults,
  };
  return { ...report, promisesHeld: holdsGuarantees(report) };
}

function holdsGuarantees(report: Omit<DemoReport, 'promisesHeld'>): boolean {
  const violations =
    report.missing +
    report.repeated +
    report.mixed +
    report.notRunButRan +
    report.lateWorkOnLeaving +
    report.failed.filter(({ kind }) => kind !== 'outcome-unknown').length;
  return violations === 0 && report.nonRepeatableRunsMax <= 1;
}

interface AnswerCheck {
  expected: number;
  delivered: number;
  missing: number;
  repeated: number;
  mixed: number;
}

/** Compares an answer token by token with the expected output of its first binding. */
function checkAnswer(record: AnswerRecord): AnswerCheck {
  const { request, tokens } = record;
  const source = findTokenSource(record);
  const length = source === undefined ? request.maxTokens : answerLength(source, request.maxTokens);
  const seen = new Map<number, number>();
  let mixed = countChangedBindings(record);
  for (const { offset, token } of tokens) {
    seen.set(offset, (seen.get(offset) ?? 0) + 1);
    mixed += source !== undefined && tokenAt(source, offset) === token ? 0 : 1;
  }
  const inAnswer = [...seen.keys()].filter((offset) => offset < length).length;
  const beyond = seen.size - inAnswer;
  return {
    expected: length,
    delivered: tokens.length,
    missing: length - inAnswer,
    repeated: tokens.length - seen.size,
    mixed: mixed + beyond,
  };
}

/** Returns the input of the stand-in's tokens under the binding of the first token. */
function findTokenSource({ request, bindings }: AnswerRecord): TokenSource | undefined {
  const binding = bindings.findLast(({ deliveredBefore }) => deliveredBefore === 0)?.binding;
  if (binding === undefined) {
    return undefined;
  }
  const { model, adapter, version, seed } = binding;
  return {
    prompt: request.prompt,
    modelVersion: { model, adapter, version },
    seed: Number(seed),
  };
}

/** Counts later bindings that differ from the binding of the first token. */
function countChangedBindings({ bindings }: AnswerRecord): number {
  const first = bindings.findLast(({ deliveredBefore }) => deliveredBefore === 0)?.binding;
  return bindings.filter(
    ({ binding: later, deliveredBefore }) =>
      deliveredBefore > 0 && (later.seed !== first?.seed || later.version !== first.version),
  ).length;
}

function isReportedNotRun({ error }: CallRecord): boolean {
  return error?.execution === 'not-run';
}

function listFailures(records: (AnswerRecord | CallRecord)[]): DemoReport['failed'] {
  return records.flatMap(({ request, error }) =>
    error === undefined
      ? []
      : [{ requestId: request.requestId, kind: error.kind ?? 'link', message: error.message }],
  );
}

/** Counts prompt and decoded tokens beyond a single generation of each answer. */
function countExtraWork({ answers, engines }: DemoObservations) {
  const records = engines.flatMap((engine) => engine.records());
  let extraPrefillTokens = 0;
  let extraDecodedTokens = 0;
  for (const { request, tokens } of answers) {
    // The second part of a generation's id is the id of its request.
    const own = records.filter(
      ({ generationId }) => generationId.split('.')[1] === request.requestId,
    );
    const prefills = own.map(({ prefillTokens }) => prefillTokens);
    const decoded = own.reduce((sum, { decodedTokens }) => sum + decodedTokens, 0);
    extraPrefillTokens += prefills.slice(1).reduce((sum, prefill) => sum + prefill, 0);
    extraDecodedTokens += decoded - tokens.length;
  }
  return { extraPrefillTokens, extraDecodedTokens };
}

function summarize(latenciesMs: number[]): DemoReport['resumeLatencyMs'] {
  const sorted = [...latenciesMs].sort((a, b) => a - b);
  const at = (quantile: number): number =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0);
  return { count: sorted.length, p50: at(0.5), p95: at(0.95), max: Math.round(sorted.at(-1) ?? 0) };
}
