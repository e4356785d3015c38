/** Finds the place where a stream begins or goes on: the cheapest way that is open comes first. */
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import type { Place } from './place-queue.js';
import type RunCopies from './run-copies.js';

/** What a place is looked for. */
export interface StreamPlaceSearch {
  /** True before anything was sent to any target. */
  isFirstSend: boolean;
  /** Targets that already failed this request. */
  exclude: string[];
  /** Told once, also with no place where none came in time. */
  receive(place: Place | undefined): void;
}

/**
 * Goes on from a copy of the run; else, for a caller that comes back, where its
 * prompt is kept; else at any target with a free place. Gives what ends waiting.
 */
export default function findStreamPlace(
  context: ForwardContext,
  admitted: AdmittedRequest,
  copies: RunCopies,
  search: StreamPlaceSearch,
): () => void {
  const keeper = copies.takeKeeper();
  if (keeper !== undefined) {
    search.receive(keeper);
    return () => undefined;
  }
  if (search.isFirstSend && admitted.request.lastPiece > 0) {
    return findKeptPrompt(context, admitted, search);
  }
  return takeAnyPlace(context, admitted, search);
}

/** The caller's earlier entry VM is gone; its prompt may still stand at the target that ran it. */
function findKeptPrompt(
  context: ForwardContext,
  admitted: AdmittedRequest,
  search: StreamPlaceSearch,
): () => void {
  const { service, request } = admitted;
  let isOver = false;
  let stopWaiting = (): void => undefined;
  void context.kept.find(service, request.affinityKey).then((found) => {
    if (isOver) {
      return;
    }
    const place = found === undefined ? undefined : context.places.takeAt(found);
    if (place === undefined) {
      stopWaiting = takeAnyPlace(context, admitted, search);
    } else {
      search.receive(place);
    }
  });
  return () => {
    isOver = true;
    stopWaiting();
  };
}

function takeAnyPlace(
  context: ForwardContext,
  { service, request, rank, dueAtMs }: AdmittedRequest,
  { exclude, receive }: StreamPlaceSearch,
): () => void {
  const { affinityKey } = request;
  return context.places.take(
    { service, affinityKey, exclude: new Set(exclude), rank, untilMs: dueAtMs },
    receive,
  );
}
