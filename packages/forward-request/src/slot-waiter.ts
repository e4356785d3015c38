/** Requests that wait for a slot, and their order. */
import { compareShareRanks } from '@limelead/admit-request';
import type { Millis, WaitingCall } from '@limelead/types';
import type { MarkedRequest } from './repeat-marker.js';
import type { RequestShares } from './request-shares.js';
import type { SlotRefusal } from './slot-refusal.js';
import type { Slot, SlotRequest } from './slot-request.js';

/** Called with a slot, or with undefined and possibly a reason if none was available in time. */
export type OnSlot = (slot: Slot | undefined, refusal?: SlotRefusal) => void;

/** A waiting request. */
export interface SlotWaiter {
  id: number;
  request: SlotRequest;
  /** Undefined if the request is not identified. */
  marked?: MarkedRequest;
  onSlot: OnSlot;
  /** True once the request was served, refused or cancelled. */
  isOver: boolean;
}

/** Returns the waiters in the order of service: by rank, fair share and deadline. */
export function sortWaiters(
  waiters: readonly SlotWaiter[],
  shares: RequestShares,
  now: Millis,
): SlotWaiter[] {
  const shareRanks = new Map(
    waiters.map((waiter) => {
      const { admitted } = waiter.request;
      const excess = admitted === undefined ? 0 : shares.excessOf(admitted, now);
      return [waiter, { excess, isRepeat: waiter.marked?.isRepeat ?? false }];
    }),
  );
  const equal = { excess: 0, isRepeat: false };
  return [...waiters].sort(
    (a, b) =>
      a.request.rank - b.request.rank ||
      compareShareRanks(shareRanks.get(a) ?? equal, shareRanks.get(b) ?? equal) ||
      a.request.untilMs - b.request.untilMs,
  );
}

/** Converts a waiter for the queue of all VMs. */
export function toWaitingCall({ id, request, marked }: SlotWaiter): WaitingCall {
  const { requestId, admitted, rank, untilMs, exclude, objectiveAtMs = untilMs } = request;
  return {
    ...{ id, requestId, organisation: admitted?.organisation, rank, untilMs },
    ...{ isRepeat: marked?.isRepeat ?? false, mark: marked?.mark, objectiveAtMs, avoid: exclude },
  };
}
