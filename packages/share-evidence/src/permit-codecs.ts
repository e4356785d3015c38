/**
 * Wire format of target limits and permits to send. It carries ages instead of times, since VMs
 * share no clock.
 */
import type { LimitUpdate } from '@limelead/permit-sends';
import type { Millis } from '@limelead/types';
import * as t from 'io-ts';

/** An optional field of the message of lost targets; older releases ignore it. */
export const limitUpdateCodec = t.array(
  t.type({
    target: t.string,
    /** Null if the target no longer reports a limit. */
    perSecond: t.union([t.number, t.null]),
    askedAgoMs: t.number,
    /** Identifies the report of the limit on all VMs. */
    mark: t.string,
  }),
);

/** Requests permits from the grantor of a service; replaces the sender's previous request. */
export const askPermitsCodec = t.type({
  kind: t.literal('ask-permits'),
  service: t.string,
  number: t.number,
  wants: t.array(t.type({ id: t.number, rank: t.number, leftMs: t.number })),
  avoid: t.array(t.string),
  mayRefuse: t.boolean,
  received: t.number,
});

/** Answers the request of that number, possibly in several messages. */
export const givePermitsCodec = t.type({
  kind: t.literal('give-permits'),
  service: t.string,
  number: t.number,
  grants: t.array(t.type({ want: t.number, target: t.string })),
  refusals: t.array(t.type({ want: t.number, retryAfterMs: t.number })),
});

/** Returns a permit that no request of the sender needs. */
export const returnPermitCodec = t.type({
  kind: t.literal('return-permit'),
  service: t.string,
  target: t.string,
});

type LimitUpdateMessage = t.TypeOf<typeof limitUpdateCodec>;

export function encodeLimitUpdate(updates: LimitUpdate[], now: Millis): LimitUpdateMessage {
  return updates.map(({ target, perSecond, askedAtMs, mark }) => ({
    target,
    perSecond: perSecond ?? null,
    askedAgoMs: Math.round(now - askedAtMs),
    mark,
  }));
}

export function decodeLimitUpdate(update: LimitUpdateMessage, now: Millis): LimitUpdate[] {
  return update.map(({ target, perSecond, askedAgoMs, mark }) => ({
    target,
    perSecond: perSecond ?? undefined,
    askedAtMs: now - askedAgoMs,
    mark,
  }));
}
