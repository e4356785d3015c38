/**
 * Compact wire format of the members in a heartbeat, eight bytes each instead of about thirty. In a
 * fleet of 195 VMs the members were two thirds of the traffic between VMs.
 */
import * as t from 'io-ts';
import { isIPv4 } from 'node:net';
import type { GossipedMember } from './member-registry.js';
import type { PeerId } from './types.js';

/** Four bytes of address, two of port and two of age, in big-endian order. */
const ENTRY_BYTES = 8;
const PORT_OFFSET = 4;
const AGE_OFFSET = 6;
/** Largest age in milliseconds that fits in two bytes; VMs expire earlier. */
const MAX_AGE_MS = 0xff_ff;

/** Codec between members and their bytes on the wire. */
export const memberListCodec = new t.Type<GossipedMember[], Uint8Array, unknown>(
  'members',
  (value): value is GossipedMember[] => Array.isArray(value),
  (value, context) =>
    value instanceof Uint8Array && value.length % ENTRY_BYTES === 0
      ? t.success(decodeMembers(value))
      : t.failure(value, context, 'members must be entries of eight bytes'),
  encodeMembers,
);

function encodeMembers(members: GossipedMember[]): Uint8Array {
  const bytes = Buffer.alloc(members.length * ENTRY_BYTES);
  members.forEach(({ id, ageMs }, index) => {
    const start = index * ENTRY_BYTES;
    writeAddress(bytes, start, id);
    bytes.writeUInt16BE(Math.min(Math.max(0, Math.round(ageMs)), MAX_AGE_MS), start + AGE_OFFSET);
  });
  return bytes;
}

/** @throws TypeError if the id is not an IPv4 address with a port */
function writeAddress(bytes: Buffer, start: number, id: PeerId): void {
  const colon = id.lastIndexOf(':');
  const host = id.slice(0, colon);
  if (!isIPv4(host)) {
    throw new TypeError(`VM id ${id} is not an IPv4 address with a port`);
  }
  host.split('.').forEach((part, index) => bytes.writeUInt8(Number(part), start + index));
  bytes.writeUInt16BE(Number(id.slice(colon + 1)), start + PORT_OFFSET);
}

function decodeMembers(value: Uint8Array): GossipedMember[] {
  const bytes = Buffer.from(value.buffer, value.byteOffset, value.length);
  return Array.from({ length: bytes.length / ENTRY_BYTES }, (_, index) => {
    const start = index * ENTRY_BYTES;
    const host = bytes.subarray(start, start + PORT_OFFSET).join('.');
    return {
      id: `${host}:${bytes.readUInt16BE(start + PORT_OFFSET)}`,
      ageMs: bytes.readUInt16BE(start + AGE_OFFSET),
    };
  });
}
