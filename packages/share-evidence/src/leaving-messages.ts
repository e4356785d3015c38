/** Wire format of leaving announcements; ages replace times, since VMs share no clock. */
import type { LeavingUpdate } from '@limelead/track-backpressure';
import type { Millis } from '@limelead/types';
import * as t from 'io-ts';

/** An optional field of the message of lost targets, which older releases ignore. */
export const leavingNewsCodec = t.array(t.type({ target: t.string, heardAgoMs: t.number }));

type LeavingNews = t.TypeOf<typeof leavingNewsCodec>;

/** Encodes announcements. */
export function composeLeavingNews(facts: LeavingUpdate[], now: Millis): LeavingNews {
  return facts.map(({ target, heardAtMs }) => ({
    target,
    heardAgoMs: Math.round(now - heardAtMs),
  }));
}

/** Decodes announcements. */
export function readLeavingNews(news: LeavingNews, now: Millis): LeavingUpdate[] {
  return news.map(({ target, heardAgoMs }) => ({ target, heardAtMs: now - heardAgoMs }));
}
