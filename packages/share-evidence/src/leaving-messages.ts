/**
 * Wire format of leaving announcements. It carries ages instead of times, since VMs share no clock.
 */
import type { LeavingUpdate } from '@limelead/track-backpressure';
import type { Millis } from '@limelead/types';
import * as t from 'io-ts';

/** An optional field of the message of lost targets; older releases ignore it. */
export const leavingUpdateCodec = t.array(t.type({ target: t.string, heardAgoMs: t.number }));

type LeavingUpdateMessage = t.TypeOf<typeof leavingUpdateCodec>;

export function encodeLeavingUpdate(facts: LeavingUpdate[], now: Millis): LeavingUpdateMessage {
  return facts.map(({ target, heardAtMs }) => ({
    target,
    heardAgoMs: Math.round(now - heardAtMs),
  }));
}

export function decodeLeavingUpdate(update: LeavingUpdateMessage, now: Millis): LeavingUpdate[] {
  return update.map(({ target, heardAgoMs }) => ({ target, heardAtMs: now - heardAgoMs }));
}
