/** Finds a slot at which a stream starts or resumes; the cheapest option comes first. */
import { hashText, type Advice, type AdviceRequest, type Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import type { Slot } from './slot-request.js';
import type { SlotRefusal } from './slot-refusal.js';
import describeRunMemory, { type RunMemory, type RunProgress } from './run-memory.js';
import type { TargetNeed } from './target-placement.js';
import type RunReplicas from './run-replicas.js';

/** Interval at which a scheduler that knows no target with room is asked again; a few round trips. */
const ASK_AGAIN_MS: Millis = 50;
/** Shortest Retry-After of a request that is too large; up to twice that, spread by its id. */
const TOO_LARGE_RETRY_MS: Millis = 1_000;

/** Parameters of the search for a slot. */
export interface StreamSlotSearch extends RunProgress {
  /** Software version to which the stream keeps; undefined before its first piece. */
  softwareVersion?: string;
  /** True for a request suspected of crashes: use only the least loaded targets, without advice. */
  onlyLeastLoaded: boolean;
  /** Targets that already failed this request. */
  exclude: string[];
  /** Id of the target whose silent run the slot is to replace; undefined without one. */
  replaces?: string;
  /** Called once; without a slot if none was available in time, and with the reason if known. */
  onSlot(slot: Slot | undefined, refusal?: SlotRefusal): void;
  /** Called in place of `onSlot` if the prompt cannot be read before the deadline. */
  onTooLate(): void;
}

type SearchWithNeed = StreamSlotSearch & { need: TargetNeed };

/**
 * Tries the target of the replica; for a resumed stream the target that caches its prompt;
 * the target that the scheduler advises; and then any target with a free slot. Returns a
 * function that cancels the search.
 */
export default function findStreamSlot(
  context: ForwardContext,
  admitted: AdmittedRequest,
  replicas: RunReplicas,
  search: StreamSlotSearch,
): () => void {
  const need = describeNeed(context, admitted, search);
  const replicaSlot = replicas.acquireAtReplica(need);
  if (replicaSlot !== undefined) {
    search.onSlot(replicaSlot);
    return () => undefined;
  }
  if (search.isFirstAttempt && admitted.request.lastPiece > 0) {
    return acquireAtCachedPrompt(context, admitted, { ...search, need });
  }
  return acquireAdvisedSlot(context, admitted, { ...search, need });
}

function describeNeed(
  context: ForwardContext,
  admitted: AdmittedRequest,
  search: StreamSlotSearch,
): TargetNeed {
  const { requestId, body } = admitted.request;
  const memory = describeRunMemory(context, admitted, search);
  const { softwareVersion, replaces } = search;
  return { requestId, bodyBytes: body.length, memory, softwareVersion, replaces };
}

/** For callers whose earlier entry VM was lost: the target may still cache their prompt. */
function acquireAtCachedPrompt(
  context: ForwardContext,
  admitted: AdmittedRequest,
  search: SearchWithNeed,
): () => void {
  const { service, request } = admitted;
  let isOver = false;
  let stopWaiting = (): void => undefined;
  void context.cachedPrompts
    .find(service, request.affinityKey, search.softwareVersion)
    .then((found) => {
      if (isOver) {
        return;
      }
      const slot =
        found === undefined
          ? undefined
          : context.slots.acquireAt(found, undefined, { ...search.need, admitted });
      if (slot === undefined) {
        stopWaiting = acquireAdvisedSlot(context, admitted, search);
      } else {
        search.onSlot(slot);
      }
    });
  return () => {
    isOver = true;
    stopWaiting();
  };
}

/**
 * Acquires a slot at the advised target, or at any target if the advised one is unavailable. While
 * the scheduler knows no target with room for the run, it is asked again until waiting would miss
 * the objective.
 */
function acquireAdvisedSlot(
  context: ForwardContext,
  admitted: AdmittedRequest,
  search: SearchWithNeed,
): () => void {
  const { service, request } = admitted;
  const { exclude, onSlot, need } = search;
  const { memory, softwareVersion } = need;
  if (memory !== undefined && memory.promptTokens > memory.capacityTokens) {
    onSlot(undefined, refuseTooLarge(memory));
    return () => undefined;
  }
  if (search.isFirstAttempt && isTooLate(context, admitted)) {
    search.onTooLate();
    return () => undefined;
  }
  if (search.onlyLeastLoaded || context.gate.ignoresAdvice(service)) {
    return acquireAnySlot(context, admitted, search);
  }
  let stop = (): void => undefined;
  let isWaiting = false;
  const ask = (): void => {
    const canWait = memory !== undefined && context.clock.now() < memory.lastResortAtMs;
    let isAnswered = false;
    const stopAsking = context.requestAdvice(
      {
        ...{ service, affinityKey: request.affinityKey, exclude },
        ...(softwareVersion === undefined ? {} : { softwareVersion }),
        ...describeSize(memory, canWait),
      },
      (advice) => {
        isAnswered = true;
        const slot =
          advice.outcome === 'advised'
            ? context.slots.acquireAt(advice.target, advice.copyTo, { ...need, admitted })
            : undefined;
        const isRepeated = isWaiting && advice.outcome === 'no-room';
        if (!isRepeated) {
          reportAdvice(context, request.requestId, advice, slot !== undefined);
        }
        if (slot !== undefined) {
          onSlot({ ...slot, isAdvised: true });
        } else if (advice.outcome === 'no-room' && canWait) {
          if (!isWaiting) {
            const candidates = context.directory.listUsable(service).length;
            context.slots.placement.reportNoRoom(request.requestId, candidates);
          }
          isWaiting = true;
          stop = context.timers.after(ASK_AGAIN_MS, ask);
        } else {
          stop = acquireAnySlot(context, admitted, search);
        }
      },
    );
    if (!isAnswered) {
      stop = stopAsking;
    }
  };
  ask();
  return () => stop();
}

/** Fields of a request for advice that depend on the size of the run; none if it is unknown. */
function describeSize(
  memory: RunMemory | undefined,
  canWait: boolean,
): Pick<AdviceRequest, 'tokens' | 'isLastResort'> {
  return memory === undefined
    ? {}
    : { tokens: memory.tokens, ...(canWait ? {} : { isLastResort: true }) };
}

/** A run whose prompt exceeds the memory of a target is rejected by every target. */
function refuseTooLarge({ requestId, promptTokens, capacityTokens }: RunMemory): SlotRefusal {
  const retryAfterMs = TOO_LARGE_RETRY_MS + (hashText(requestId) % TOO_LARGE_RETRY_MS);
  return { kind: 'too-large', retryAfterMs, promptTokens, capacityTokens };
}

/**
 * Whether the prompt cannot be read before the deadline; reading it would waste target time.
 * Callers that noticed the power loss of their VM after 18 s returned in their last second: 9 of 32
 * such streams occupied a target and received nothing.
 */
function isTooLate({ clock, prefill }: ForwardContext, admitted: AdmittedRequest): boolean {
  return admitted.dueAtMs - clock.now() < prefill.minMs(admitted);
}

function reportAdvice(
  { log, metrics }: ForwardContext,
  requestId: string,
  advice: Advice,
  isTaken: boolean,
): void {
  if (advice.outcome === 'nobody-to-ask') {
    return;
  }
  const { outcome, scheduler, afterMs } = advice;
  metrics.count('limelead_target_advice_total', 1, { outcome });
  log.write('target-advised', {
    requestId,
    outcome,
    scheduler,
    target: advice.outcome === 'advised' ? advice.target : undefined,
    isTaken,
    afterMs: Math.round(afterMs),
  });
}

function acquireAnySlot(
  context: ForwardContext,
  admitted: AdmittedRequest,
  { exclude, onlyLeastLoaded, onSlot, need }: SearchWithNeed,
): () => void {
  const { service, request, rank, dueAtMs } = admitted;
  const { requestId, affinityKey } = request;
  const minServiceMs = context.prefill.minMs(admitted);
  return context.slots.acquire(
    {
      ...{ requestId, service, affinityKey, exclude: new Set(exclude) },
      ...{ admitted, rank, onlyLeastLoaded, untilMs: dueAtMs, minServiceMs },
      ...need,
    },
    onSlot,
  );
}
