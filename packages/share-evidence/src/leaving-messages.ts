/** How news of leaving targets travel: ages in place of times, since each VM's clock is its own. */
import type { LeavingFact } from '@limelead/track-backpressure';
import type { Millis } from '@limelead/types';
import * as t from 'io-ts';

/** Rides on news of lost targets, so that VMs of a release that does not know it pass it over. */
export const leavingNewsCodec = t.array(t.type({ target: t.string, heardAgoMs: t.number }));

type LeavingNews = t.TypeOf<typeof leavingNewsCodec>;

/** Composes the news. */
export function composeLeavingNews(facts: LeavingFact[], now: Millis): LeavingNews {
  return facts.map(({ target, heardAtMs }) => ({
    target,
    heardAgoMs: Math.round(now - heardAtMs),
  }));
}

/** Reads the news. */
export function readLeavingNews(news: LeavingNews, now: Millis): LeavingFact[] {
  return news.map(({ target, heardAgoMs }) => ({ target, heardAtMs: now - heardAgoMs }));
}
