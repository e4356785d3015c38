/**
 * Wire format of the messages about places at the targets of queued services. Lists in place of
 * objects keep them short; older releases ignore these kinds.
 */
import * as t from 'io-ts';

const callsInProgress = t.array(t.tuple([t.string, t.number]));

/** Calls of the sender in progress at each target; sent to the queue VM of the service. */
export const reportCallsCodec = t.type({
  kind: t.literal('report-calls'),
  service: t.string,
  inFlight: callsInProgress,
  received: t.number,
});

/** Switches queueing of a service on for a time, or off. */
export const queueStateCodec = t.type({
  kind: t.literal('queue-state'),
  service: t.string,
  isQueued: t.boolean,
  ttlMs: t.number,
});

/** Asks the queue VM of a service for places; see `Want`. */
export const askPlacesCodec = t.type({
  kind: t.literal('ask-places'),
  service: t.string,
  isWhole: t.boolean,
  wants: t.array(
    t.tuple([
      t.number,
      t.number,
      t.number,
      t.number,
      t.partial({
        organisation: t.string,
        isRepeat: t.boolean,
        avoid: t.array(t.string),
        mark: t.tuple([t.string, t.number]),
      }),
    ]),
  ),
  avoid: t.array(t.string),
  received: t.number,
});

/** Gives places to calls of the receiver, and refuses calls. */
export const givePlacesCodec = t.type({
  kind: t.literal('give-places'),
  service: t.string,
  number: t.number,
  grants: t.array(t.tuple([t.number, t.string])),
  refusals: t.array(t.tuple([t.number, t.number])),
});

/** Returns a place after the call ended; `tookMs` is null if there was no answer. */
export const releasePlaceCodec = t.type({
  kind: t.literal('release-place'),
  service: t.string,
  target: t.string,
  tookMs: t.union([t.number, t.null]),
  isRejected: t.boolean,
});
