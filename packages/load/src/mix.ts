/** The mix file: kinds of requests, their rates and the API keys that they use. */
import decodeJsonc, {
  strictObject,
  integerBetween,
  listUpTo,
  positiveUpTo,
} from '@limelead/decode-with-lines';
import type { DecodeError } from '@limelead/errors';
import type * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

const MAX_REQUESTS_PER_SECOND = 10_000;
const MAX_DURATION_MS = 3_600_000;
const MAX_SURGE_FACTOR = 1_000;

/** A log-normal distribution of lengths, truncated at `max`. */
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
    /** Weight of this kind, relative to the other kinds. */
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
    /** Present only for calls to plain services. */
    call: callCodec,
  },
);

/** A period in which one kind, or every kind if none is named, arrives `factor` times as often. */
const surgeCodec = strictObject(
  'surge',
  {
    fromMs: integerBetween(0, MAX_DURATION_MS),
    toMs: integerBetween(1, MAX_DURATION_MS),
    factor: positiveUpTo(MAX_SURGE_FACTOR),
  },
  { kind: t.string },
);

const locationCodec = strictObject('place', {
  failureDomain: t.string,
  /** Weight of this failure domain, relative to the others. */
  share: positiveUpTo(1_000_000),
});

const mixCodec = strictObject(
  'mix',
  {
    requestsPerSecond: positiveUpTo(MAX_REQUESTS_PER_SECOND),
    durationMs: integerBetween(1, MAX_DURATION_MS),
    kinds: listUpTo(kindCodec, 64),
  },
  {
    surges: listUpTo(surgeCodec, 64),
    /** Failure domains in which requests arrive. */
    places: listUpTo(locationCodec, 64),
  },
);

/** One kind of request in a mix. */
export type MixKind = t.TypeOf<typeof kindCodec>;

/** Log-normal distribution of prompt or answer lengths. */
export type LengthDistribution = t.TypeOf<typeof lengthCodec>;

/** A decoded mix file. */
export type Mix = t.TypeOf<typeof mixCodec>;

/** Decodes the text of a mix file; an error names the file and line. */
export function decodeMix(file: string, text: string): E.Either<DecodeError, Mix> {
  return decodeJsonc(file, text, mixCodec);
}
