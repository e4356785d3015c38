/** The mix file: what kinds of requests arrive, how often, and from whom. */
import decodeWithLines, {
  strictObject,
  integerBetween,
  listUpTo,
  positiveUpTo,
} from '@limelead/decode-with-lines';
import type { DecodeError } from '@limelead/errors';
import type * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

const MAX_RATE = 10_000;
const MAX_DURATION_MS = 3_600_000;
const MAX_SURGE = 1_000;

/** A length with a long tail: log-normal around the median, cut at the greatest. */
const lengthCodec = strictObject('length', {
  median: integerBetween(1, 100_000),
  sigma: t.number,
  max: integerBetween(1, 100_000),
});

const prefixesCodec = strictObject('shared prefixes', {
  count: integerBetween(1, 10_000),
  characters: integerBetween(1, 100_000),
});

const callCodec = strictObject('call', { operation: t.string, repeatable: t.boolean });

const kindCodec = strictObject(
  'kind',
  {
    name: t.string,
    /** Part of all arrivals, relative to the other kinds. */
    share: positiveUpTo(1_000_000),
    service: t.string,
    key: t.string,
  },
  {
    priority: t.string,
    deadlineMs: integerBetween(0, MAX_DURATION_MS),
    pace: t.number,
    promptCharacters: lengthCodec,
    maxTokens: lengthCodec,
    sharedPrefixes: prefixesCodec,
    /** Present for calls to plain services. */
    call: callCodec,
  },
);

/** For some time a kind, or every kind where none is named, arrives so many times as often. */
const surgeCodec = strictObject(
  'surge',
  {
    fromMs: integerBetween(0, MAX_DURATION_MS),
    toMs: integerBetween(1, MAX_DURATION_MS),
    factor: positiveUpTo(MAX_SURGE),
  },
  { kind: t.string },
);

const placeCodec = strictObject('place', {
  failureDomain: t.string,
  /** Part of all arrivals, relative to the other places. */
  share: positiveUpTo(1_000_000),
});

const mixCodec = strictObject(
  'mix',
  {
    requestsPerSecond: positiveUpTo(MAX_RATE),
    durationMs: integerBetween(1, MAX_DURATION_MS),
    kinds: listUpTo(kindCodec, 64),
  },
  {
    surges: listUpTo(surgeCodec, 64),
    /** Failure domains at which requests arrive. */
    places: listUpTo(placeCodec, 64),
  },
);

/** One kind of requests. */
export type MixKind = t.TypeOf<typeof kindCodec>;

/** A length with a long tail. */
export type Length = t.TypeOf<typeof lengthCodec>;

/** A mix. */
export type Mix = t.TypeOf<typeof mixCodec>;

/** Reads the text of a mix file. */
export function decodeMix(file: string, text: string): E.Either<DecodeError, Mix> {
  return decodeWithLines(file, text, mixCodec);
}
