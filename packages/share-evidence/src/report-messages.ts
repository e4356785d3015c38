/**
 * Reports between VMs for usage metering, capacity planning and roll-outs. The exchange transfers
 * them without using them.
 */
import * as t from 'io-ts';

/** The sender's wall-clock time, from which VMs estimate true time. */
export const timeOfDayCodec = t.type({
  kind: t.literal('time-of-day'),
  /** Unique to each start of the sender's process. */
  incarnation: t.string,
  /** Milliseconds since 1970 by the clock of the sender's machine. */
  timeMs: t.number,
});

/**
 * Requests that targets began for the sender's callers. Counts are cumulative within the
 * incarnation, so that lost, repeated or late reports do no harm.
 */
export const usageCodec = t.type({
  kind: t.literal('usage'),
  incarnation: t.string,
  /** The first window that the sender counted from its beginning. */
  countedFrom: t.number,
  windows: t.array(
    t.type({
      window: t.number,
      /** Organisations and their requests, for those that changed since the last report. */
      counts: t.array(t.tuple([t.string, t.number])),
    }),
  ),
});

/**
 * Demand of the sender's callers for each service: cumulative sums of the incarnation, and current
 * numbers.
 */
export const demandCodec = t.type({
  kind: t.literal('demand'),
  incarnation: t.string,
  services: t.array(
    t.type({
      service: t.string,
      /** Admitted requests and the tokens of their prompts, cumulative. */
      arrived: t.number,
      promptTokens: t.number,
      /** Requests that targets have begun and not ended. */
      running: t.number,
      /** Requests that currently wait for a target. */
      waiting: t.number,
      /**
       * Prompt tokens of the runs that were begun, and the milliseconds until their first pieces,
       * cumulative.
       */
      begunTokens: t.number,
      begunMs: t.number,
    }),
  ),
});

const routeSums = t.type({
  route: t.string,
  isTrial: t.boolean,
  good: t.number,
  bad: t.number,
  /** Pairs of a bucket's number and the answers whose time fell into it. */
  times: t.array(t.tuple([t.number, t.number])),
});

/**
 * Results of the sender's attempts at the versions of a service; cumulative within the incarnation.
 */
export const versionEvidenceCodec = t.type({
  kind: t.literal('version-evidence'),
  incarnation: t.string,
  service: t.string,
  /** Revision of the roll-out order. */
  order: t.number,
  /** Longest time since any VM read the order, as far as the sender knows. */
  ageMs: t.number,
  /**
   * Whether the sender sends no new requests to replaced targets, and the number still open there.
   */
  moves: t.boolean,
  underWay: t.number,
  sums: t.array(routeSums),
});

/** The sums over all VMs that reported to the sender. */
export const versionTotalCodec = t.type({
  kind: t.literal('version-total'),
  service: t.string,
  order: t.number,
  ageMs: t.number,
  isBad: t.boolean,
  sums: t.array(routeSums),
});

/** A report of any kind. */
export type PeerReport =
  | t.TypeOf<typeof timeOfDayCodec>
  | t.TypeOf<typeof usageCodec>
  | t.TypeOf<typeof demandCodec>
  | t.TypeOf<typeof versionEvidenceCodec>
  | t.TypeOf<typeof versionTotalCodec>;
