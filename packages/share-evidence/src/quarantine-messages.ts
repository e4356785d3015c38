/**
 * Wire format of quarantine updates. It carries ages instead of times, since VMs share no clock.
 */
import {
  isEmptyQuarantineUpdate,
  type QuarantineUpdate,
  type CrashRecord,
} from '@limelead/quarantine-requests';
import type { Millis } from '@limelead/types';
import * as t from 'io-ts';

/** An optional field of the message of lost targets; older releases ignore it. */
export const quarantineUpdateCodec = t.type({
  strikes: t.array(
    t.intersection([
      t.type({
        request: t.string,
        service: t.string,
        caller: t.string,
        target: t.string,
        startedAgoMs: t.number,
        endedAgoMs: t.number,
      }),
      t.partial({ version: t.string, mayBeCoincidence: t.boolean }),
    ]),
  ),
  withdrawn: t.array(t.type({ request: t.string, target: t.string })),
  absolved: t.array(
    t.intersection([
      t.type({ request: t.string, agoMs: t.number }),
      t.partial({
        scope: t.intersection([t.type({ service: t.string }), t.partial({ version: t.string })]),
      }),
    ]),
  ),
  trials: t.array(t.type({ request: t.string, trial: t.string, isOver: t.boolean })),
});

/** A quarantine update on the wire. */
export type QuarantineUpdateMessage = t.TypeOf<typeof quarantineUpdateCodec>;

/** Encodes an update; undefined if it is empty. */
export function encodeQuarantineUpdate(
  update: QuarantineUpdate,
  now: Millis,
): QuarantineUpdateMessage | undefined {
  if (isEmptyQuarantineUpdate(update)) {
    return undefined;
  }
  const encodeCrash = ({ startedAtMs, endedAtMs, ...crash }: CrashRecord) => ({
    ...crash,
    startedAgoMs: Math.round(now - startedAtMs),
    endedAgoMs: Math.round(now - endedAtMs),
  });
  return {
    strikes: update.crashes.map(encodeCrash),
    withdrawn: update.withdrawn.map(({ request, target }) => ({ request, target })),
    absolved: update.cleared.map(({ request, scope, atMs }) => ({
      ...{ request, scope },
      agoMs: Math.round(now - atMs),
    })),
    trials: update.trials,
  };
}

export function decodeQuarantineUpdate(
  message: QuarantineUpdateMessage,
  now: Millis,
): QuarantineUpdate {
  const decodeCrash = ({
    startedAgoMs,
    endedAgoMs,
    ...crash
  }: QuarantineUpdateMessage['strikes'][number]): CrashRecord => ({
    ...crash,
    startedAtMs: now - startedAgoMs,
    endedAtMs: now - endedAgoMs,
  });
  return {
    crashes: message.strikes.map(decodeCrash),
    withdrawn: message.withdrawn,
    cleared: message.absolved.map(({ request, scope, agoMs }) => ({
      ...{ request, scope },
      atMs: now - agoMs,
    })),
    trials: message.trials,
  };
}
