/**
 * Wire format of leaving announcements. It carries ages instead of times, since VMs share no clock.
 */
import type { LeavingUpdate } from '@limelead/track-backpressure';
import type { Millis } from '@limelead/types';
import * as t from 'io-ts';

/** An optional field of the message of lost targets; older releases ignore it. */
export const leavingUpdateCodec = t.array(t.type({ target: t.string, heardAgoMs: t.number }));

type LeavingUpdateMessage = t.TypeOf<typeof leavingUpdateCodec>;

export function encodeLeavingUpdate(updates: LeavingUpdate[], now: Millis): LeavingUpdateMessage {
  return updates.map(({ target, receivedAtMs }) => ({
    target,
    heardAgoMs: Math.round(now - receivedAtMs),
  }));
}

export function decodeLeavingUpdate(message: LeavingUpdateMessage, now: Millis): LeavingUpdate[] {
  return message.map(({ target, heardAgoMs }) => ({ target, receivedAtMs: now - heardAgoMs }));
}
