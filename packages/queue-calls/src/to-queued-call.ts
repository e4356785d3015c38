/** Converts between waiting calls of a VM and their form in messages. */
import type { Millis, WaitingCall } from '@limelead/types';
import type { QueuedCall } from './order-calls.js';
import type { Want, WantDetails } from './queue-messages.js';

/** Converts a call in a message that arrives now. */
export default function toQueuedCall(
  vm: string,
  [id, rank, objectiveLeftMs, leftMs, { organisation, isRepeat, avoid, mark }]: Want,
  now: Millis,
): QueuedCall {
  return {
    ...{ vm, id, rank, organisation },
    isRepeat: isRepeat ?? false,
    objectiveAtMs: now + objectiveLeftMs,
    untilMs: now + leftMs,
    avoid: avoid ?? [],
    ...(mark === undefined ? {} : { mark: { hash: mark[0], number: mark[1] } }),
  };
}

/** Converts a waiting call for a message that is sent now. */
export function toWant(call: WaitingCall, now: Millis): Want {
  const details: WantDetails = {
    ...(call.organisation === undefined ? {} : { organisation: call.organisation }),
    ...(call.isRepeat ? { isRepeat: true } : {}),
    ...(call.mark === undefined ? {} : { mark: [call.mark.hash, call.mark.number] }),
    ...(call.avoid.size > 0 ? { avoid: [...call.avoid] } : {}),
  };
  return [
    call.id,
    call.rank,
    Math.round(call.objectiveAtMs - now),
    Math.round(call.untilMs - now),
    details,
  ];
}
