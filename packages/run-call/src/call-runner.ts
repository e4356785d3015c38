/** Runs calls to plain services. */
import type { CallClaimer } from '@limelead/claim-call';
import { LimeleadError, type PortFault } from '@limelead/errors';
import type { Metrics } from '@limelead/metrics';
import type { EventBus } from '@limelead/observe-events';
import type { PlainAnswer, TargetConnector } from '@limelead/ports';
import type { TargetTable, TrackedTarget } from '@limelead/track-targets';
import type { Clock, Millis, Random } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import CallRecords, { type RememberedCall } from './call-records.js';

/** Targets tried for one call at most. */
const MAX_TRIES = 3;

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
export interface CallDependencies {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  bus: EventBus;
  targets: TargetTable;
  connector: TargetConnector;
  claimer: CallClaimer;
  /** Asks the VM that holds a claim what became of the call; 'unknown' where it can't be asked. */
  askHolder(holder: string, organisation: string, requestId: string): Promise<RememberedCall>;
}

/** Runs calls. */
export interface CallRunner {
  /** Rejects with a LimeleadError. */
  run(request: CallRequest): Promise<CallResult>;
  /** What became of a call that this VM has taken on; undefined where it has not. */
  recall(organisation: string, requestId: string): Promise<RememberedCall> | undefined;
}

/** Creates the runner of one VM. */
export default function createCallRunner(dependencies: CallDependencies): CallRunner {
  const records = new CallRecords(dependencies.clock);

  return {
    run: (request) =>
      request.repeatable
        ? runRepeatable(dependencies, request)
        : runOnce(dependencies, records, request),
    recall: (organisation, requestId) => records.find(recordKey(organisation, requestId)),
  };
}

async function runRepeatable(
  dependencies: CallDependencies,
  request: CallRequest,
): Promise<CallResult> {
  const outcome = await tryTargets(dependencies, request, () => true);
  if (outcome.kind === 'answered') {
    return { answer: outcome.answer, replayed: false };
  }
  throw outcome.kind === 'not-sent'
    ? new LimeleadError('no-target', 'no target takes the call now')
    : new LimeleadError('no-target', 'the call broke on every target', { execution: 'unknown' });
}

async function runOnce(
  dependencies: CallDependencies,
  records: CallRecords,
  request: CallRequest,
): Promise<CallResult> {
  const { organisation, requestId, notAfterMs } = request;
  const key = recordKey(organisation, requestId);
  const earlier = records.find(key);
  if (earlier !== undefined) {
    return answerFrom(await earlier, true);
  }
  // The record is made before the first await, so that a second try here finds it.
  const outcome = claimAndSend(dependencies, request);
  const remembered = outcome.then(
    ({ remembered }) => remembered,
    (): RememberedCall => ({ kind: 'not-sent' }),
  );
  records.add(key, notAfterMs, remembered);
  const { remembered: own, replayed } = await outcome.catch((thrown: unknown) => {
    records.forget(key);
    throw thrown;
  });
  // Only what was certainly not sent is forgotten: an unknown outcome has to stay one.
  if (own.kind === 'not-sent') {
    records.forget(key);
  }
  return answerFrom(own, replayed);
}

interface ClaimedOutcome {
  remembered: RememberedCall;
  replayed: boolean;
}

/** Rejects only where this VM has not sent the call and will not. */
async function claimAndSend(
  dependencies: CallDependencies,
  request: CallRequest,
): Promise<ClaimedOutcome> {
  const { organisation, requestId } = request;
  const claimed = await dependencies.claimer.claim(request);
  dependencies.metrics.count('limelead_call_claims_total', 1, { outcome: claimed.kind });
  dependencies.bus.publish(requestId, () => ({ kind: 'callClaimed', outcome: claimed.kind }));
  switch (claimed.kind) {
    case 'granted': {
      const sent = await tryTargets(dependencies, request, (fault) => fault.sent === 'no');
      return { remembered: sent, replayed: false };
    }
    case 'held-by-other': {
      const remembered = await dependencies.askHolder(claimed.holder, organisation, requestId);
      return { remembered, replayed: true };
    }
    case 'expired':
      throw new LimeleadError('call-expired', 'the call must no longer be started');
    case 'unavailable':
      throw new LimeleadError('store-unavailable', 'the call can not be claimed now');
  }
}

function answerFrom(remembered: RememberedCall, replayed: boolean): CallResult {
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
async function tryTargets(
  dependencies: CallDependencies,
  request: CallRequest,
  mayGoOn: (fault: PortFault) => boolean,
): Promise<RememberedCall> {
  const { targets, clock } = dependencies;
  const tried: string[] = [];
  let outcome: RememberedCall = { kind: 'not-sent' };
  while (tried.length < MAX_TRIES) {
    const usable = targets
      .listUsablePlain(request.service, clock.now())
      .filter((target) => !tried.includes(target.id));
    const target = drawLeastBusy(usable, dependencies.random);
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
  dependencies: CallDependencies,
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

function drawLeastBusy(targets: TrackedTarget[], random: Random): TrackedTarget | undefined {
  const start = Math.floor(random.next() * targets.length);
  const rotated = [...targets.slice(start), ...targets.slice(0, start)];
  return rotated.reduce<TrackedTarget | undefined>(
    (best, target) => (best === undefined || target.inFlight < best.inFlight ? target : best),
    undefined,
  );
}

function recordKey(organisation: string, requestId: string): string {
  return JSON.stringify([organisation, requestId]);
}
