/** How news of requests that may end targets travel: ages in place of times, since each VM's clock is its own. */
import {
  isEmptyQuarantineUpdate,
  type QuarantineUpdate,
  type CrashRecord,
} from '@limelead/quarantine-requests';
import type { Millis } from '@limelead/types';
import * as t from 'io-ts';

/** Rides on news of lost targets, so that VMs of a release that does not know it pass it over. */
export const guardNewsCodec = t.type({
  strikes: t.array(
    t.type({
      request: t.string,
      service: t.string,
      caller: t.string,
      target: t.string,
      startedAgoMs: t.number,
      endedAgoMs: t.number,
    }),
  ),
  withdrawn: t.array(t.type({ request: t.string, target: t.string })),
  absolved: t.array(t.type({ request: t.string, agoMs: t.number })),
  trials: t.array(t.type({ request: t.string, trial: t.string, isOver: t.boolean })),
});

/** The news on the wire. */
export type GuardNewsMessage = t.TypeOf<typeof guardNewsCodec>;

/** Composes the message; undefined where there is nothing to tell. */
export function composeGuardNews(
  news: QuarantineUpdate,
  now: Millis,
): GuardNewsMessage | undefined {
  if (isEmptyQuarantineUpdate(news)) {
    return undefined;
  }
  const toMessage = ({ startedAtMs, endedAtMs, ...strike }: CrashRecord) => ({
    ...strike,
    startedAgoMs: Math.round(now - startedAtMs),
    endedAgoMs: Math.round(now - endedAtMs),
  });
  return {
    strikes: news.strikes.map(toMessage),
    withdrawn: news.withdrawn.map(({ request, target }) => ({ request, target })),
    absolved: news.absolved.map(({ request, atMs }) => ({
      request,
      agoMs: Math.round(now - atMs),
    })),
    trials: news.trials,
  };
}

/** Reads the message. */
export function readGuardNews(message: GuardNewsMessage, now: Millis): QuarantineUpdate {
  const toStrike = ({
    startedAgoMs,
    endedAgoMs,
    ...strike
  }: GuardNewsMessage['strikes'][number]): CrashRecord => ({
    ...strike,
    startedAtMs: now - startedAgoMs,
    endedAtMs: now - endedAgoMs,
  });
  return {
    strikes: message.strikes.map(toStrike),
    withdrawn: message.withdrawn,
    absolved: message.absolved.map(({ request, agoMs }) => ({ request, atMs: now - agoMs })),
    trials: message.trials,
  };
}
