/** Runs calls to plain services. */
import type { CallClaimer } from '@limelead/claim-call';
import { LimeleadError, type PortFault } from '@limelead/errors';
import type { Metrics } from '@limelead/metrics';
import type { EventBus } from '@limelead/observe-events';
import type { PlainAnswer, TargetConnector } from '@limelead/ports';
import type { TargetTable, TrackedTarget } from '@limelead/track-targets';
import type { Clock, Millis, Random } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import CallOutcomeTable, { type RecordedOutcome } from './call-outcome-table.js';

/** Targets tried for one call at most. */
const MAX_TARGETS_PER_CALL = 3;

/** A checked call. */
export interface CallRequest {
  organisation: string;
  requestId: string;
  service: string;
  operation: string;
  body: Uint8Array;
  repeatable: boolean;
  notAfterMs: Millis;
  timeoutMs: number;
}

/** The answer of a call. */
export interface CallResult {
  answer: PlainAnswer;
  /** True where this is the kept answer of an earlier run. */
  replayed: boolean;
}

/** What the runner needs from its VM. */
export interface CallRunnerDependencies {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  bus: EventBus;
  targets: TargetTable;
  connector: TargetConnector;
  claimer: CallClaimer;
  /** Asks the VM that holds a claim what became of the call; 'unknown' where it can't be asked. */
  queryHolder(holder: string, organisation: string, requestId: string): Promise<RecordedOutcome>;
}

/** Runs calls. */
export interface CallRunner {
  /** Rejects with a LimeleadError. */
  run(request: CallRequest): Promise<CallResult>;
  /** What became of a call that this VM has taken on; undefined where it has not. */
  findOutcome(organisation: string, requestId: string): Promise<RecordedOutcome> | undefined;
}

/** Creates the runner of one VM. */
export default function createCallRunner(dependencies: CallRunnerDependencies): CallRunner {
  const records = new CallOutcomeTable(dependencies.clock);

  return {
    run: (request) =>
      request.repeatable
        ? runRepeatable(dependencies, request)
        : runAtMostOnce(dependencies, records, request),
    findOutcome: (organisation, requestId) => records.find(toRecordKey(organisation, requestId)),
  };
}

async function runRepeatable(
  dependencies: CallRunnerDependencies,
  request: CallRequest,
): Promise<CallResult> {
  const outcome = await sendWithRetries(dependencies, request, () => true);
  if (outcome.kind === 'answered') {
    return { answer: outcome.answer, replayed: false };
  }
  throw outcome.kind === 'not-sent'
    ? new LimeleadError('no-target', 'no target takes the call now')
    : new LimeleadError('no-target', 'the call broke on every target', { execution: 'unknown' });
}

async function runAtMostOnce(
  dependencies: CallRunnerDependencies,
  records: CallOutcomeTable,
  request: CallRequest,
): Promise<CallResult> {
  const { organisation, requestId, notAfterMs } = request;
  const key = toRecordKey(organisation, requestId);
  const earlier = records.find(key);
  if (earlier !== undefined) {
    return toCallResult(await earlier, true);
  }
  // The record is made before the first await, so that a second try here finds it.
  const outcome = claimAndSend(dependencies, request);
  const remembered = outcome.then(
    ({ recorded }) => recorded,
    (): RecordedOutcome => ({ kind: 'not-sent' }),
  );
  records.add(key, notAfterMs, remembered);
  const { recorded: own, replayed } = await outcome.catch((thrown: unknown) => {
    records.forget(key);
    throw thrown;
  });
  // Only what was certainly not sent is forgotten: an unknown outcome has to stay one.
  if (own.kind === 'not-sent') {
    records.forget(key);
  }
  return toCallResult(own, replayed);
}

interface ClaimedOutcome {
  recorded: RecordedOutcome;
  replayed: boolean;
}

/** Rejects only where this VM has not sent the call and will not. */
async function claimAndSend(
  dependencies: CallRunnerDependencies,
  request: CallRequest,
): Promise<ClaimedOutcome> {
  const { organisation, requestId } = request;
  const claimed = await dependencies.claimer.claim(request);
  dependencies.metrics.count('limelead_call_claims_total', 1, { outcome: claimed.kind });
  dependencies.bus.publish(requestId, () => ({ kind: 'callClaimed', outcome: claimed.kind }));
  switch (claimed.kind) {
    case 'granted': {
      const sent = await sendWithRetries(dependencies, request, (fault) => fault.sent === 'no');
      return { recorded: sent, replayed: false };
    }
    case 'held-by-other': {
      const remembered = await dependencies.queryHolder(claimed.holder, organisation, requestId);
      return { recorded: remembered, replayed: true };
    }
    case 'expired':
      throw new LimeleadError('call-expired', 'the call must no longer be started');
    case 'unavailable':
      throw new LimeleadError('store-unavailable', 'the call can not be claimed now');
  }
}

function toCallResult(remembered: RecordedOutcome, replayed: boolean): CallResult {
  switch (remembered.kind) {
    case 'answered':
      return { answer: remembered.answer, replayed };
    case 'not-sent':
      throw new LimeleadError('no-target', 'no target takes the call now');
    case 'unknown':
      throw new LimeleadError('outcome-unknown', 'the call was sent and its answer is not known');
  }
}

/** Sends to one target after another while `mayGoOn` allows it. */
async function sendWithRetries(
  dependencies: CallRunnerDependencies,
  request: CallRequest,
  mayGoOn: (fault: PortFault) => boolean,
): Promise<RecordedOutcome> {
  const { targets, clock } = dependencies;
  const tried: string[] = [];
  let outcome: RecordedOutcome = { kind: 'not-sent' };
  while (tried.length < MAX_TARGETS_PER_CALL) {
    const usable = targets
      .listUsablePlain(request.service, clock.now())
      .filter((target) => !tried.includes(target.id));
    const target = chooseLeastLoaded(usable, dependencies.random);
    if (target === undefined) {
      break;
    }
    tried.push(target.id);
    const sent = await sendTo(dependencies, target, request);
    if (E.isRight(sent)) {
      return { kind: 'answered', answer: sent.right };
    }
    if (sent.left.sent === 'maybe') {
      outcome = { kind: 'unknown' };
    }
    if (!mayGoOn(sent.left)) {
      break;
    }
  }
  return outcome;
}

async function sendTo(
  dependencies: CallRunnerDependencies,
  target: TrackedTarget,
  request: CallRequest,
): Promise<E.Either<PortFault, PlainAnswer>> {
  const { targets, connector, clock, metrics } = dependencies;
  const service = connector.plainService(target.host, target.port, request.service);
  targets.recordRequestSent(target.id, clock.now());
  const startedAtMs = clock.now();
  const sent = await service.call(request)();
  targets.recordRequestDone(target.id);
  metrics.recordMs('limelead_call_ms', clock.now() - startedAtMs);
  if (E.isRight(sent)) {
    targets.recordSuccess(target.id);
  } else {
    targets.recordFailure(target.id, clock.now());
    metrics.count('limelead_call_faults_total', 1, { sent: sent.left.sent });
  }
  return sent;
}

function chooseLeastLoaded(targets: TrackedTarget[], random: Random): TrackedTarget | undefined {
  const start = Math.floor(random.next() * targets.length);
  const rotated = [...targets.slice(start), ...targets.slice(0, start)];
  return rotated.reduce<TrackedTarget | undefined>(
    (best, target) => (best === undefined || target.inFlight < best.inFlight ? target : best),
    undefined,
  );
}

function toRecordKey(organisation: string, requestId: string): string {
  return JSON.stringify([organisation, requestId]);
}
