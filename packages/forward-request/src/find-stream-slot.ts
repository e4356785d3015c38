/** Finds a slot at which a stream starts or resumes; the cheapest option comes first. */
import type { Advice } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import type { Slot } from './slot-request.js';
import type { SlotRefusal } from './slot-refusal.js';
import type RunReplicas from './run-replicas.js';

/** Parameters of the search for a slot. */
export interface StreamSlotSearch {
  /** True if no attempt was made yet. */
  isFirstAttempt: boolean;
  /** True for a request suspected of crashes: use only the least loaded targets, without advice. */
  onlyLeastLoaded: boolean;
  /** Targets that already failed this request. */
  exclude: string[];
  /** Called once; without a slot if none was available in time, and with the reason if known. */
  onSlot(slot: Slot | undefined, refusal?: SlotRefusal): void;
  /** Called in place of `onSlot` if the prompt cannot be read before the deadline. */
  onTooLate(): void;
}

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
  const replicaSlot = replicas.acquireAtReplica();
  if (replicaSlot !== undefined) {
    search.onSlot(replicaSlot);
    return () => undefined;
  }
  if (search.isFirstAttempt && admitted.request.lastPiece > 0) {
    return acquireAtCachedPrompt(context, admitted, search);
  }
  return acquireAdvisedSlot(context, admitted, search);
}

/** For callers whose earlier entry VM was lost: the target may still cache their prompt. */
function acquireAtCachedPrompt(
  context: ForwardContext,
  admitted: AdmittedRequest,
  search: StreamSlotSearch,
): () => void {
  const { service, request } = admitted;
  let isOver = false;
  let stopWaiting = (): void => undefined;
  void context.cachedPrompts.find(service, request.affinityKey).then((found) => {
    if (isOver) {
      return;
    }
    const slot =
      found === undefined ? undefined : context.slots.acquireAt(found, undefined, { admitted });
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

/** Acquires a slot at the advised target, or at any target if the advised one is unavailable. */
function acquireAdvisedSlot(
  context: ForwardContext,
  admitted: AdmittedRequest,
  search: StreamSlotSearch,
): () => void {
  const { service, request } = admitted;
  const { exclude, onSlot } = search;
  if (search.isFirstAttempt && isTooLate(context, admitted)) {
    search.onTooLate();
    return () => undefined;
  }
  if (search.onlyLeastLoaded || context.gate.ignoresAdvice(service)) {
    return acquireAnySlot(context, admitted, search);
  }
  let stopWaiting = (): void => undefined;
  const stopAsking = context.requestAdvice(
    { service, affinityKey: request.affinityKey, exclude },
    (advice) => {
      const slot =
        advice.outcome === 'advised'
          ? context.slots.acquireAt(advice.target, advice.copyTo, { admitted })
          : undefined;
      reportAdvice(context, request.requestId, advice, slot !== undefined);
      if (slot === undefined) {
        stopWaiting = acquireAnySlot(context, admitted, search);
      } else {
        onSlot(slot);
      }
    },
  );
  return () => {
    stopAsking();
    stopWaiting();
  };
}

/** Whether the prompt cannot be read before the deadline; reading it would waste target time. */
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
  { exclude, onlyLeastLoaded, onSlot }: StreamSlotSearch,
): () => void {
  const { service, request, rank, dueAtMs } = admitted;
  const { requestId, affinityKey } = request;
  const minServiceMs = context.prefill.minMs(admitted);
  return context.slots.acquire(
    {
      ...{ requestId, service, affinityKey, exclude: new Set(exclude) },
      ...{ admitted, rank, onlyLeastLoaded, untilMs: dueAtMs, minServiceMs },
    },
    onSlot,
  );
}
