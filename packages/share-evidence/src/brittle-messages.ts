/** Wire format of brittle targets. It carries ages instead of times, since VMs share no clock. */
import type { BrittleUpdate } from '@limelead/track-backpressure';
import type { Millis } from '@limelead/types';
import * as t from 'io-ts';

/** An optional field of the message of lost targets; older releases ignore it. */
export const brittleUpdateCodec = t.array(
  t.type({ target: t.string, rejectionsPerSecond: t.number, heardAgoMs: t.number }),
);

type BrittleMessage = t.TypeOf<typeof brittleUpdateCodec>;

export function encodeBrittleUpdate(updates: BrittleUpdate[], now: Millis): BrittleMessage {
  return updates.map(({ target, rejectionsPerSecond, heardAtMs }) => ({
    target,
    rejectionsPerSecond,
    heardAgoMs: Math.ceil(now - heardAtMs),
  }));
}

/** Ages below zero and counts that are no number are dropped. */
export function decodeBrittleUpdate(message: BrittleMessage, now: Millis): BrittleUpdate[] {
  return message
    .filter(({ rejectionsPerSecond, heardAgoMs }) => rejectionsPerSecond >= 0 && heardAgoMs >= 0)
    .map(({ target, rejectionsPerSecond, heardAgoMs }) => ({
      target,
      rejectionsPerSecond,
      heardAtMs: now - heardAgoMs,
    }));
}
