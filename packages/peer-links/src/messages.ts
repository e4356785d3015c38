/** Messages between VMs, and their format on the wire. */
import { changeCodec, removalCodec, versionedResourceCodec } from '@limelead/configuration-state';
import { vmListCodec } from '@limelead/outside-protocol';
import * as E from 'fp-ts/lib/Either.js';
import { identity } from 'fp-ts/lib/function.js';
import * as t from 'io-ts';
import { Packr } from 'msgpackr';

/** Version of the messages; peers with another version are rejected. */
export const PROTOCOL_VERSION = 1;

// Records share structures between messages, which fails on links that drop messages.
const packr = new Packr({ useRecords: false });

/** Encoding and decoding of one set of messages. */
export interface MessageFormat<Message> {
  encode(message: Message): Buffer;
  /** Returns undefined if the bytes are not a valid message. */
  decode(bytes: Buffer): Message | undefined;
  /** Whether a message may be dropped for a slow peer. */
  isExpendable(message: Message): boolean;
}

/**
 * Creates a format that validates messages when they are decoded.
 * @param toWire converts a message to the value that is sent, if they differ
 */
export function createMessageFormat<Message>(
  codec: t.Type<Message, unknown>,
  isExpendable: (message: Message) => boolean,
  toWire: (message: Message) => unknown = identity,
): MessageFormat<Message> {
  return {
    encode: (message) => packr.pack(toWire(message)),
    decode(bytes) {
      const decoded = codec.decode(unpack(bytes));
      return E.isRight(decoded) ? decoded.right : undefined;
    },
    isExpendable,
  };
}

const heartbeat = t.type({
  kind: t.literal('heartbeat'),
  id: t.string,
  host: t.string,
  port: t.number,
  failureDomain: t.string,
  incarnation: t.string,
  revision: t.number,
  leaving: t.boolean,
  /** Version of the sender's newest list of VMs, and its age in milliseconds. */
  listVersion: t.number,
  listAgeMs: t.number,
  /** Requests per second of each organisation that the sender admits, for sharing limits. */
  demand: t.array(t.type({ organisation: t.string, requestsPerSecond: t.number })),
});

const wantChanges = t.type({ kind: t.literal('want-changes'), after: t.number });

const changes = t.type({ kind: t.literal('changes'), changes: t.array(changeCodec) });

const snapshot = t.type({
  kind: t.literal('snapshot'),
  revision: t.number,
  part: t.number,
  parts: t.number,
  resources: t.array(versionedResourceCodec),
  removals: t.array(removalCodec),
});

const wantList = t.type({ kind: t.literal('want-list') });

const list = t.type({ kind: t.literal('list'), list: vmListCodec, ageMs: t.number });

const breaker = t.type({
  kind: t.literal('breaker'),
  target: t.string,
  openForMs: t.number,
});

const callQuery = t.type({
  kind: t.literal('call-query'),
  query: t.number,
  organisation: t.string,
  requestId: t.string,
});

const cancelQuery = t.type({
  kind: t.literal('cancel-query'),
  query: t.number,
  organisation: t.string,
  requestId: t.string,
});

const cancelReply = t.type({
  kind: t.literal('cancel-reply'),
  query: t.number,
  cancelled: t.boolean,
});

const callOutcome = t.union([
  t.type({
    kind: t.literal('answered'),
    answer: t.type({ status: t.number, body: t.unknown }),
  }),
  t.type({ kind: t.literal('not-sent') }),
  t.type({ kind: t.literal('unknown') }),
]);

const callReply = t.type({
  kind: t.literal('call-reply'),
  query: t.number,
  outcome: callOutcome,
});

const peerMessageCodec = t.union([
  heartbeat,
  wantChanges,
  changes,
  snapshot,
  wantList,
  list,
  breaker,
  callQuery,
  callReply,
  cancelQuery,
  cancelReply,
]);

/** A message from one VM to another. */
export type PeerMessage = t.TypeOf<typeof peerMessageCodec>;

/** A message of one kind. */
export type PeerMessageOf<Kind extends PeerMessage['kind']> = Extract<PeerMessage, { kind: Kind }>;

/** Format of the messages between VMs. */
export const peerMessageFormat: MessageFormat<PeerMessage> = createMessageFormat(
  peerMessageCodec,
  ({ kind }) => kind === 'heartbeat',
);

export function encodeMessage(message: PeerMessage): Buffer {
  return peerMessageFormat.encode(message);
}

/** Decodes a message; undefined if it is invalid. */
export function decodeMessage(bytes: Buffer): PeerMessage | undefined {
  return peerMessageFormat.decode(bytes);
}

const handshakeCodec = t.union([
  t.type({
    kind: t.literal('hello'),
    version: t.number,
    id: t.string,
    incarnation: t.string,
    nonce: t.string,
  }),
  t.type({ kind: t.literal('proof'), mac: t.string }),
]);

/** A message of the handshake that begins every link. */
export type HandshakeMessage = t.TypeOf<typeof handshakeCodec>;

export function encodeHandshake(message: HandshakeMessage): Buffer {
  return packr.pack(message);
}

/** Decodes a message of the handshake; undefined if it is invalid. */
export function decodeHandshake(bytes: Buffer): HandshakeMessage | undefined {
  const decoded = handshakeCodec.decode(unpack(bytes));
  return E.isRight(decoded) ? decoded.right : undefined;
}

function unpack(bytes: Buffer): unknown {
  try {
    return packr.unpack(bytes);
  } catch {
    return undefined;
  }
}
