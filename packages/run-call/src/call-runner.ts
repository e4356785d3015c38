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

const MAX_TARGETS_PER_CALL = 3;

/** Validated call to a plain service. */
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

/** Answer of a call. */
export interface CallResult {
  answer: PlainAnswer;
  /** True if this is the recorded answer of an earlier run. */
  replayed: boolean;
}

/** Dependencies of a call runner. */
export interface CallRunnerDependencies {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  bus: EventBus;
  targets: TargetTable;
  connector: TargetConnector;
  claimer: CallClaimer;
  /** Queries the VM that holds a claim for the call's outcome; 'unknown' if the query fails. */
  queryHolder(holder: string, organisation: string, requestId: string): Promise<RecordedOutcome>;
}

/** Runs calls to plain services; non-repeatable calls run at most once. */
export interface CallRunner {
  /** Runs a call, or returns its recorded answer. Rejects with a LimeleadError. */
  run(request: CallRequest): Promise<CallResult>;
  /** Finds the outcome of a call recorded on this VM; undefined if there is no record. */
  findOutcome(organisation: string, requestId: string): Promise<RecordedOutcome> | undefined;
}

/** Creates the call runner of one VM. */
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
    ? new LimeleadError('no-target', 'no target currently accepts the call')
    : new LimeleadError('no-target', 'the call failed at every target that was attempted', {
        execution: 'unknown',
      });
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
  // Recorded before the first await, so that a concurrent retry on this VM finds it.
  const outcome = claimAndSend(dependencies, request);
  const recorded = outcome.then(
    ({ recorded }) => recorded,
    (): RecordedOutcome => ({ kind: 'not-sent' }),
  );
  records.add(key, notAfterMs, recorded);
  const { recorded: own, replayed } = await outcome.catch((thrown: unknown) => {
    records.forget(key);
    throw thrown;
  });
  // A record is removed only if the call was certainly not sent; an unknown outcome must persist.
  if (own.kind === 'not-sent') {
    records.forget(key);
  }
  return toCallResult(own, replayed);
}

interface ClaimedOutcome {
  recorded: RecordedOutcome;
  replayed: boolean;
}

/** Claims and sends a call. Rejects only if this VM did not send the call and will not. */
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
      const recorded = await dependencies.queryHolder(claimed.holder, organisation, requestId);
      return { recorded, replayed: true };
    }
    case 'expired':
      throw new LimeleadError('call-expired', 'the latest start time of the call has passed');
    case 'unavailable':
      throw new LimeleadError('store-unavailable', 'the call cannot be claimed at present');
  }
}

function toCallResult(outcome: RecordedOutcome, replayed: boolean): CallResult {
  switch (outcome.kind) {
    case 'answered':
      return { answer: outcome.answer, replayed };
    case 'not-sent':
      throw new LimeleadError('no-target', 'no target currently accepts the call');
    case 'unknown':
      throw new LimeleadError('outcome-unknown', 'the call was sent and its outcome is unknown');
  }
}

/** Sends a call to up to MAX_TARGETS_PER_CALL targets in turn, as long as `canRetry` allows it. */
async function sendWithRetries(
  dependencies: CallRunnerDependencies,
  request: CallRequest,
  canRetry: (fault: PortFault) => boolean,
): Promise<RecordedOutcome> {
  const { targets, clock } = dependencies;
  const attempted: string[] = [];
  let outcome: RecordedOutcome = { kind: 'not-sent' };
  while (attempted.length < MAX_TARGETS_PER_CALL) {
    const usable = targets
      .listUsablePlain(request.service, clock.now())
      .filter((target) => !attempted.includes(target.id));
    const target = chooseLeastLoaded(usable, dependencies.random);
    if (target === undefined) {
      break;
    }
    attempted.push(target.id);
    const sent = await sendTo(dependencies, target, request);
    if (E.isRight(sent)) {
      return { kind: 'answered', answer: sent.right };
    }
    if (sent.left.sent === 'maybe') {
      outcome = { kind: 'unknown' };
    }
    if (!canRetry(sent.left)) {
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
