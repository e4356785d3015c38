/** How limits of targets and permits to send travel: ages in place of times, since each VM's clock is its own. */
import type { LimitUpdate } from '@limelead/permit-sends';
import type { Millis } from '@limelead/types';
import * as t from 'io-ts';

/** Rides on news of lost targets, so that VMs of a release that does not know it pass it over. */
export const limitNewsCodec = t.array(
  t.type({
    target: t.string,
    /** Null where the target names no limit any more. */
    perSecond: t.union([t.number, t.null]),
    askedAgoMs: t.number,
    /** Names the word wherever it is told. */
    mark: t.string,
  }),
);

/** Asks the VM that grants permits of a service; replaces what the sender asked for before. */
export const askPermits = t.type({
  kind: t.literal('ask-permits'),
  service: t.string,
  number: t.number,
  wants: t.array(t.type({ id: t.number, rank: t.number, leftMs: t.number })),
  avoid: t.array(t.string),
  mayRefuse: t.boolean,
  received: t.number,
});

/** Answers the ask of that number, or goes on answering it. */
export const givePermits = t.type({
  kind: t.literal('give-permits'),
  service: t.string,
  number: t.number,
  grants: t.array(t.type({ want: t.number, target: t.string })),
  refusals: t.array(t.type({ want: t.number, retryAfterMs: t.number })),
});

/** No request of the sender had a use for a permit. */
export const returnPermit = t.type({
  kind: t.literal('return-permit'),
  service: t.string,
  target: t.string,
});

type LimitNews = t.TypeOf<typeof limitNewsCodec>;

/** Composes the news. */
export function composeLimitNews(facts: LimitUpdate[], now: Millis): LimitNews {
  return facts.map(({ target, perSecond, askedAtMs, mark }) => ({
    target,
    perSecond: perSecond ?? null,
    askedAgoMs: Math.round(now - askedAtMs),
    mark,
  }));
}

/** Reads the news. */
export function readLimitNews(news: LimitNews, now: Millis): LimitUpdate[] {
  return news.map(({ target, perSecond, askedAgoMs, mark }) => ({
    target,
    perSecond: perSecond ?? undefined,
    askedAtMs: now - askedAgoMs,
    mark,
  }));
}
