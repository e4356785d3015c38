/** Finds the slot where a stream begins or goes on: the cheapest way that is open comes first. */
import type { Advice } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import type { Slot } from './slot-request.js';
import type { SlotRefusal } from './slot-refusal.js';
import type RunCopies from './run-copies.js';

/** What a slot is looked for. */
export interface StreamSlotSearch {
  /** True before anything was sent to any target. */
  isFirstSend: boolean;
  /** A suspect: goes where the fewest others stand, whatever is advised. */
  avoidsOthers: boolean;
  /** Targets that already failed this request. */
  exclude: string[];
  /** Told once, also with no slot where none came in time, with why where that is certain. */
  receive(slot: Slot | undefined, refusal?: SlotRefusal): void;
  /** Told in place of `receive` where the prompt can't be read before its caller leaves. */
  refuse(): void;
}

/**
 * Goes on from a copy of the run; else, for a caller that comes back, where its
 * prompt is kept; else where a scheduler advises, if there is one; else at any target
 * with a free slot. Gives what ends waiting.
 */
export default function findStreamSlot(
  context: ForwardContext,
  admitted: AdmittedRequest,
  copies: RunCopies,
  search: StreamSlotSearch,
): () => void {
  const keeper = copies.acquireAtReplica();
  if (keeper !== undefined) {
    search.receive(keeper);
    return () => undefined;
  }
  if (search.isFirstSend && admitted.request.lastPiece > 0) {
    return findKeptPrompt(context, admitted, search);
  }
  return acquireAdvisedSlot(context, admitted, search);
}

/** The caller's earlier entry VM is gone; its prompt may still stand at the target that ran it. */
function findKeptPrompt(
  context: ForwardContext,
  admitted: AdmittedRequest,
  search: StreamSlotSearch,
): () => void {
  const { service, request } = admitted;
  let isOver = false;
  let stopWaiting = (): void => undefined;
  void context.kept.find(service, request.affinityKey).then((found) => {
    if (isOver) {
      return;
    }
    const slot = found === undefined ? undefined : context.slots.acquireAt(found);
    if (slot === undefined) {
      stopWaiting = acquireAdvisedSlot(context, admitted, search);
    } else {
      search.receive(slot);
    }
  });
  return () => {
    isOver = true;
    stopWaiting();
  };
}

/** Where the scheduler of a large fleet says; a slot that this VM doubts is not taken. */
function acquireAdvisedSlot(
  context: ForwardContext,
  admitted: AdmittedRequest,
  search: StreamSlotSearch,
): () => void {
  const { service, request } = admitted;
  const { exclude, receive } = search;
  if (search.isFirstSend && isTooLate(context, admitted)) {
    search.refuse();
    return () => undefined;
  }
  if (search.avoidsOthers || context.gate.decidesAlone(service)) {
    return acquireAnySlot(context, admitted, search);
  }
  let stopWaiting = (): void => undefined;
  const stopAsking = context.askTarget(
    { service, affinityKey: request.affinityKey, exclude },
    (advice) => {
      const slot =
        advice.outcome === 'advised'
          ? context.slots.acquireAt(advice.target, advice.copyTo)
          : undefined;
      reportAdvice(context, request.requestId, advice, slot !== undefined);
      if (slot === undefined) {
        stopWaiting = acquireAnySlot(context, admitted, search);
      } else {
        receive(slot);
      }
    },
  );
  return () => {
    stopAsking();
    stopWaiting();
  };
}

/**
 * Whether too little time is left to read the prompt. Callers whose VM lost power noticed it
 * after 18 s, and came back in the last second that they had: sent on, 9 of 32 such
 * streams took a target's time for reading and got nothing, by the lines of 89 VMs.
 */
function isTooLate({ clock, reading }: ForwardContext, admitted: AdmittedRequest): boolean {
  return admitted.dueAtMs - clock.now() < reading.leastMs(admitted);
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
  { exclude, avoidsOthers, receive }: StreamSlotSearch,
): () => void {
  const { service, request, rank, dueAtMs } = admitted;
  const { requestId, affinityKey } = request;
  const serviceMs = context.reading.leastMs(admitted);
  return context.slots.acquire(
    {
      ...{ requestId, service, affinityKey, exclude: new Set(exclude) },
      ...{ rank, avoidsOthers, untilMs: dueAtMs, serviceMs },
    },
    receive,
  );
}
