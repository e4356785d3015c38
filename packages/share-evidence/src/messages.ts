/** Messages between VMs of the HTTP front door. */
import { createMessageFormat, type MessageFormat } from '@limelead/peer-links';
import * as t from 'io-ts';
import { guardNewsCodec } from './guard-messages.js';
import { askPermits, givePermits, limitNewsCodec, returnPermit } from './permit-codecs.js';
import { leavingNewsCodec } from './leaving-messages.js';
import { memberListCodec } from './member-codec.js';
import { demand, timeOfDay, usage, versionEvidence, versionTotal } from './report-messages.js';

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

/** Sent about once a second for gossip, and at once after a change of the two last fields. */
const heartbeatBase = t.type({
  kind: t.literal('heartbeat'),
  /** Whether the sender chose the receiver for gossip. */
  wanted: t.boolean,
  /** Some VMs that the sender heard of lately, with the milliseconds since each spoke. */
  members: memberListCodec,
  /** Revision of the store up to which the sender knows everything; 0 before the first list. */
  revision: t.number,
  /** Version of the configuration in force; 0 for none. */
  configuration: t.number,
  configurationBytes: t.number,
});

/** What a heartbeat says beside that in a fleet of several regions; see `NamedMembers`. */
const heartbeatRegions = t.partial({
  region: t.string,
  regions: t.array(t.string),
  regionOf: t.array(t.number),
  /** Regions that the sender can't see; see `HiddenRegion`. */
  hidden: t.array(t.type({ region: t.string, vms: t.number, ageMs: t.number })),
});

/** Left out where both ends know that they follow the same store; see `ToldMarks`. */
const heartbeatMarks = t.partial({
  storeMarks: t.type({ store: t.string, marks: t.array(t.number), isUnsure: t.boolean }),
});

const heartbeat = t.intersection([heartbeatBase, heartbeatRegions, heartbeatMarks]);

/** Takes the place of a heartbeat on links that serve no gossip. */
const pulse = t.type({ kind: t.literal('pulse') });

/** Requests of the sender under way at each target; targets without any are left out. */
const load = t.type({
  kind: t.literal('load'),
  /** Number of the receiver's last advice that this load follows; 0 for none. */
  advice: t.number,
  targets: t.array(
    t.type({
      id: t.string,
      requests: t.number,
      reading: t.number,
      copies: t.number,
      slowness: t.number,
    }),
  ),
});

/** Requests of a whole region under way at each target, told by one of its schedulers; see `RegionLoad`. */
const regionLoad = t.type({
  kind: t.literal('region-load'),
  targets: t.array(t.string),
  requests: t.array(t.number),
  reading: t.array(t.number),
  copies: t.array(t.number),
  slowness: t.array(t.number),
});

/** The sender, or VMs that told it, found these targets lost just now; see `LostTargets`. */
const lost = t.intersection([
  t.type({
    kind: t.literal('lost'),
    targets: t.array(t.string),
    replaced: t.array(t.string),
  }),
  /** Left out where there is none, and by VMs of a release that knows nothing of it. */
  t.partial({ requests: guardNewsCodec, limits: limitNewsCodec, leaving: leavingNewsCodec }),
]);

/** Told by VMs that follow the store, and passed on; see `NewsOfStore`. */
const storeNews = t.type({
  kind: t.literal('store-news'),
  revision: t.number,
  configuration: t.number,
  configurationBytes: t.number,
  ageMs: t.number,
});

/** Asks for what the peer knows of the store beyond a revision; 0 for everything. */
const wantItems = t.type({ kind: t.literal('want-items'), since: t.number });

/** What the sender knows of the store, up to the revision. */
const items = t.type({
  kind: t.literal('items'),
  /** The items written behind the revision that was asked for. */
  items: t.array(storeItem),
  /** Keys that went behind it. */
  gone: t.array(t.string),
  /** Keys of all items that are there, where not all that went is known; what is missing is gone. */
  present: t.union([t.array(t.string), t.null]),
  revision: t.number,
});

/** Asks for repeats of the service's retry budget; the sender has few left. */
const wantRepeats = t.type({
  kind: t.literal('want-repeats'),
  service: t.string,
  repeats: t.number,
});

/** Repeats of the service's retry budget that the sender counts as spent. */
const lendRepeats = t.type({
  kind: t.literal('lend-repeats'),
  service: t.string,
  repeats: t.number,
});

/** Asks a scheduler where a stream should go; see `TargetQuestion`. */
const wantTarget = t.type({
  kind: t.literal('want-target'),
  number: t.number,
  service: t.string,
  affinityKey: t.string,
  failureDomain: t.string,
  exclude: t.array(t.string),
  part: t.number,
  parts: t.number,
});

/** Answers the question of that number; no target where none has a place, no copy where there is no other. */
const adviseTarget = t.type({
  kind: t.literal('advise-target'),
  number: t.number,
  target: t.union([t.string, t.null]),
  copyTo: t.union([t.string, t.null]),
});

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
  wantRepeats,
  lendRepeats,
  timeOfDay,
  usage,
  demand,
  versionEvidence,
  versionTotal,
  askPermits,
  givePermits,
  returnPermit,
]);

/** A message of a kind that this release knows. */
export type KnownMessage = t.TypeOf<typeof knownMessageCodec>;

/** Whether a later message makes one needless, so that a slow link may drop it. */
const IS_DROPPABLE: Readonly<Record<KnownMessage['kind'], boolean>> = {
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
};

/** A message of a kind that only a later release knows: it is passed over, and the link stays. */
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

/** A message from one VM to another. */
export type EvidenceMessage = t.TypeOf<typeof evidenceMessageCodec>;

/** One kind of message. */
export type EvidenceMessageOf<Kind extends EvidenceMessage['kind']> = Extract<
  EvidenceMessage,
  { kind: Kind }
>;

/** Format of the messages on the wire. */
export const evidenceMessageFormat: MessageFormat<EvidenceMessage> = createMessageFormat(
  evidenceMessageCodec as t.Type<EvidenceMessage, unknown>,
  ({ kind }) => kind === 'unknown' || IS_DROPPABLE[kind],
  (message) => evidenceMessageCodec.encode(message),
);
