/** Wire format of messages about the software versions that began streams. */
import * as t from 'io-ts';

/** Streams that the sender served; `version` began each, and it ends within `leftMs`. */
export const originsCodec = t.type({
  kind: t.literal('origins'),
  streams: t.array(
    t.type({ id: t.string, service: t.string, version: t.string, leftMs: t.number }),
  ),
});

/** Asks which version began a stream. */
export const wantOriginCodec = t.type({
  kind: t.literal('want-origin'),
  number: t.number,
  id: t.string,
  service: t.string,
});

/** Answers the question of that number; `version` is null if the sender does not know it. */
export const giveOriginCodec = t.intersection([
  t.type({
    kind: t.literal('give-origin'),
    number: t.number,
    version: t.union([t.string, t.null]),
    /** Versions of the service that ran lately, as far as the sender knows. */
    versions: t.array(t.type({ version: t.string, agoMs: t.number })),
    /** Always false: for older releases, true would confirm the only version that was seen. */
    isFresh: t.boolean,
  }),
  t.partial({
    /** How long ago the sender knew of all versions; null if it never did. Older releases omit it. */
    completeAgoMs: t.union([t.number, t.null]),
  }),
]);
