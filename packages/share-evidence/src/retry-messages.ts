/** Wire format of messages that lend retries of a service's retry budget. */
import * as t from 'io-ts';

/** Requests retries; the sender has few left, or requests that wait for them. */
export const wantRepeatsCodec = t.intersection([
  t.type({
    kind: t.literal('want-repeats'),
    service: t.string,
    /** Retries wanted for all classes together; may be a fraction. */
    repeats: t.number,
  }),
  /** Omitted by older releases: the same by class of retry. Unknown classes come last. */
  t.partial({ needs: t.array(t.type({ class: t.string, repeats: t.number })) }),
]);

/** Retries that the sender counts as spent. */
export const lendRepeatsCodec = t.type({
  kind: t.literal('lend-repeats'),
  service: t.string,
  repeats: t.number,
});
