/** Encodes the origins of streams as the value of a store item, and decodes it. */
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import { DIGEST_CHARS } from './digest-stream.js';

/** Digests of streams by service and software version. */
export type SegmentOrigins = ReadonlyMap<string, ReadonlyMap<string, ReadonlySet<string>>>;

/** One stream of a segment. */
export interface SegmentEntry {
  digest: string;
  service: string;
  softwareVersion: string;
}

/** Concatenated digests by service and software version. */
const segmentCodec = t.record(t.string, t.record(t.string, t.string));

/** Encodes the streams of a segment. */
export function encodeSegment(entries: Iterable<SegmentEntry>): Buffer {
  const digests = new Map<string, Map<string, string>>();
  for (const { service, softwareVersion, digest } of entries) {
    const ofService = digests.get(service) ?? new Map<string, string>();
    digests.set(service, ofService);
    ofService.set(softwareVersion, (ofService.get(softwareVersion) ?? '') + digest);
  }
  const value = Object.fromEntries(
    [...digests].map(([service, ofService]) => [service, Object.fromEntries(ofService)]),
  );
  return Buffer.from(JSON.stringify(value));
}

/** Decodes the value of an item; undefined if it is invalid. */
export function decodeSegment(value: Buffer): SegmentOrigins | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(value.toString('utf8'));
  } catch {
    return undefined;
  }
  const decoded = segmentCodec.decode(parsed);
  if (E.isLeft(decoded)) {
    return undefined;
  }
  const services = Object.entries(decoded.right);
  const isWhole = services.every(([, versions]) =>
    Object.values(versions).every((digests) => digests.length % DIGEST_CHARS === 0),
  );
  return isWhole
    ? new Map(services.map(([service, versions]) => [service, toDigestSets(versions)]))
    : undefined;
}

function toDigestSets(versions: Record<string, string>): Map<string, ReadonlySet<string>> {
  return new Map(
    Object.entries(versions).map(([version, digests]) => [version, splitDigests(digests)]),
  );
}

function splitDigests(digests: string): ReadonlySet<string> {
  const split = new Set<string>();
  for (let start = 0; start < digests.length; start += DIGEST_CHARS) {
    split.add(digests.slice(start, start + DIGEST_CHARS));
  }
  return split;
}
