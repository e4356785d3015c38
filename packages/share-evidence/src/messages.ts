/** Messages between VMs and their codecs. */
import { createMessageFormat, type MessageFormat } from '@limelead/peer-links';
import * as t from 'io-ts';
import { brittleUpdateCodec } from './brittle-messages.js';
import { quarantineUpdateCodec } from './quarantine-messages.js';
import {
  askPermitsCodec,
  givePermitsCodec,
  limitUpdateCodec,
  returnPermitCodec,
} from './permit-codecs.js';
import {
  askPlacesCodec,
  givePlacesCodec,
  queueStateCodec,
  releasePlaceCodec,
  reportCallsCodec,
} from './queue-codecs.js';
import { serviceDemandsCodec } from './demand-codec.js';
import { leavingUpdateCodec } from './leaving-messages.js';
import {
  advisedRunCodec,
  noRoomCodec,
  regionTokensCodec,
  targetTokensCodec,
} from './load-tokens.js';
import { memberListCodec } from './member-codec.js';
import { giveOriginCodec, originsCodec, wantOriginCodec } from './origin-messages.js';
import { probeAnswersCodec } from './probe-messages.js';
import { lendRepeatsCodec, wantRepeatsCodec } from './retry-messages.js';
import {
  demandCodec,
  timeOfDayCodec,
  usageCodec,
  versionEvidenceCodec,
  versionTotalCodec,
} from './report-messages.js';

const buffer = new t.Type<Buffer, Uint8Array, unknown>(
  'bytes',
  (value): value is Buffer => Buffer.isBuffer(value),
  (value, context) =>
    value instanceof Uint8Array ? t.success(Buffer.from(value)) : t.failure(value, context),
  (value) => value,
);

const storeItem = t.intersection([
  t.type({ key: t.string, value: buffer, revision: t.number }),
  t.partial({ made: t.number }),
]);

/** Sent to gossip peers about once a second, and at once when the configuration changes. */
const heartbeatBase = t.type({
  kind: t.literal('heartbeat'),
  /** Whether the sender chose the receiver for gossip. */
  wanted: t.boolean,
  /** Some recently active VMs, with the milliseconds since each sent a message. */
  members: memberListCodec,
  /** Revision of the store up to which the sender is current; 0 before the first list. */
  revision: t.number,
  /** Version of the configuration in force; 0 for none. */
  configuration: t.number,
  configurationBytes: t.number,
});

/** Additional fields in a fleet of several regions; see `HeartbeatMembers`. */
const heartbeatRegions = t.partial({
  region: t.string,
  regions: t.array(t.string),
  regionOf: t.array(t.number),
  /** Regions that the sender cannot reach; see `UnreachableRegion`. */
  hidden: t.array(t.type({ region: t.string, vms: t.number, ageMs: t.number })),
});

/** Omitted if both ends know that they follow the same store; see `AdvertisedStoreMarks`. */
const heartbeatMarks = t.partial({
  storeMarks: t.type({ store: t.string, marks: t.array(t.number), isUnsure: t.boolean }),
});

/** Omitted without requests, and by older releases. */
const heartbeatDemand = t.partial({ demand: serviceDemandsCodec });

const heartbeat = t.intersection([
  heartbeatBase,
  heartbeatRegions,
  heartbeatMarks,
  heartbeatDemand,
]);

/** Sent instead of a heartbeat on links without gossip. */
const pulse = t.type({ kind: t.literal('pulse') });

/** Open requests of the sender at each target; idle targets are omitted. */
const load = t.type({
  kind: t.literal('load'),
  /** Number of the receiver's last advice that this load follows; 0 for none. */
  advice: t.number,
  targets: t.array(
    t.intersection([
      t.type({
        id: t.string,
        requests: t.number,
        reading: t.number,
        copies: t.number,
        slowness: t.number,
      }),
      targetTokensCodec,
    ]),
  ),
});

/**
 * Open requests of a whole region at each target, sent by one of its schedulers; see
 * `RegionLoadPublisher`.
 */
const regionLoad = t.intersection([
  t.type({
    kind: t.literal('region-load'),
    targets: t.array(t.string),
    requests: t.array(t.number),
    reading: t.array(t.number),
    copies: t.array(t.number),
    slowness: t.array(t.number),
  }),
  regionTokensCodec,
]);

/** Targets that the sender or another VM detected as lost; see `LostTargets`. */
const lost = t.intersection([
  t.type({
    kind: t.literal('lost'),
    targets: t.array(t.string),
    replaced: t.array(t.string),
  }),
  /** Omitted if empty, and by older releases. */
  t.partial({
    requests: quarantineUpdateCodec,
    limits: limitUpdateCodec,
    leaving: leavingUpdateCodec,
    probed: probeAnswersCodec,
    brittle: brittleUpdateCodec,
    /** Services that the sender does not reach; replaces those that it told before. */
    unreached: t.array(t.string),
  }),
]);

/** Sent by VMs that follow the store, and forwarded; see `StoreProgress`. */
const storeNews = t.type({
  kind: t.literal('store-news'),
  revision: t.number,
  configuration: t.number,
  configurationBytes: t.number,
  ageMs: t.number,
});

/** Requests the store items after a revision; 0 for all. */
const wantItems = t.type({ kind: t.literal('want-items'), since: t.number });

/** The store items that the sender knows, up to `revision`. */
const items = t.type({
  kind: t.literal('items'),
  /** Items written after the requested revision. */
  items: t.array(storeItem),
  /** Keys deleted after the requested revision. */
  gone: t.array(t.string),
  /** Keys of all existing items if not all deletions are known; any other key is deleted. */
  present: t.union([t.array(t.string), t.null]),
  revision: t.number,
});

/** Requests advice from a scheduler; see `SchedulerRequest`. */
const wantTarget = t.intersection([
  t.type({
    kind: t.literal('want-target'),
    number: t.number,
    service: t.string,
    affinityKey: t.string,
    failureDomain: t.string,
    exclude: t.array(t.string),
    part: t.number,
    parts: t.number,
  }),
  advisedRunCodec,
]);

/**
 * Answers the request of that number. `target` is null if none has a free slot, `copyTo` if there
 * is no replica target.
 */
const adviseTarget = t.intersection([
  t.type({
    kind: t.literal('advise-target'),
    number: t.number,
    target: t.union([t.string, t.null]),
    copyTo: t.union([t.string, t.null]),
  }),
  noRoomCodec,
]);

const knownMessageCodec = t.union([
  heartbeat,
  pulse,
  load,
  regionLoad,
  wantTarget,
  adviseTarget,
  lost,
  storeNews,
  wantItems,
  items,
  wantRepeatsCodec,
  lendRepeatsCodec,
  timeOfDayCodec,
  usageCodec,
  demandCodec,
  versionEvidenceCodec,
  versionTotalCodec,
  askPermitsCodec,
  givePermitsCodec,
  returnPermitCodec,
  reportCallsCodec,
  queueStateCodec,
  askPlacesCodec,
  givePlacesCodec,
  releasePlaceCodec,
  originsCodec,
  wantOriginCodec,
  giveOriginCodec,
]);

/** A message of a kind that this release knows. */
export type SupportedMessage = t.TypeOf<typeof knownMessageCodec>;

/** Whether a later message replaces one of this kind, so that a slow link may drop it. */
const IS_DROPPABLE: Readonly<Record<SupportedMessage['kind'], boolean>> = {
  heartbeat: true,
  pulse: true,
  load: true,
  'region-load': true,
  'want-target': true,
  'advise-target': true,
  lost: false,
  'store-news': true,
  'want-items': false,
  items: false,
  'want-repeats': true,
  'lend-repeats': false,
  'time-of-day': true,
  usage: false,
  demand: true,
  'version-evidence': true,
  'version-total': true,
  'ask-permits': true,
  'give-permits': false,
  'return-permit': false,
  'report-calls': true,
  'queue-state': true,
  'ask-places': false,
  'give-places': false,
  'release-place': false,
  origins: false,
  'want-origin': true,
  'give-origin': true,
};

/** A message of a kind that only later releases know. It is ignored, and the link remains open. */
const unknownMessage = t.type({ kind: t.literal('unknown') });
const anyMessage = t.type({ kind: t.string });

const unknownMessageCodec = new t.Type<t.TypeOf<typeof unknownMessage>, unknown, unknown>(
  'a message of a later release',
  unknownMessage.is,
  (value, context) =>
    anyMessage.is(value) && !(value.kind in IS_DROPPABLE)
      ? t.success({ kind: 'unknown' })
      : t.failure(value, context),
  (value) => value,
);

const evidenceMessageCodec = t.union([knownMessageCodec, unknownMessageCodec]);

/** A message between VMs. */
export type ExchangeMessage = t.TypeOf<typeof evidenceMessageCodec>;

/** A message of one kind. */
export type ExchangeMessageOf<Kind extends ExchangeMessage['kind']> = Extract<
  ExchangeMessage,
  { kind: Kind }
>;

/** Wire format of the messages. */
export const exchangeMessageFormat: MessageFormat<ExchangeMessage> = createMessageFormat(
  evidenceMessageCodec as t.Type<ExchangeMessage, unknown>,
  ({ kind }) => kind === 'unknown' || IS_DROPPABLE[kind],
  (message) => evidenceMessageCodec.encode(message),
);
