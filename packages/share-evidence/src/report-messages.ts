/**
 * Reports that VMs give each other for the parts of the product that look at the whole
 * fleet: usage, capacity and roll-outs. The exchange carries them and reads none.
 */
import * as t from 'io-ts';

/** The sender's time of day, by which VMs agree on true time. */
export const timeOfDay = t.type({
  kind: t.literal('time-of-day'),
  /** Another for each start of the sender's process. */
  incarnation: t.string,
  /** Milliseconds since 1970 by the clock of the sender's machine. */
  timeMs: t.number,
});

/**
 * Requests that targets began for the sender's callers. Counts are the sums of this
 * incarnation so far, so a report that is lost, repeated or late changes nothing.
 */
export const usage = t.type({
  kind: t.literal('usage'),
  incarnation: t.string,
  /** The first window that the sender counted from its beginning. */
  countedFrom: t.number,
  windows: t.array(
    t.type({
      window: t.number,
      /** Organisations and their requests, those that changed since the last report. */
      counts: t.array(t.tuple([t.string, t.number])),
    }),
  ),
});

/** What the sender's callers ask of each service; sums of this incarnation, and what is there now. */
export const demand = t.type({
  kind: t.literal('demand'),
  incarnation: t.string,
  services: t.array(
    t.type({
      service: t.string,
      /** Requests that were admitted, and the tokens of their prompts; sums so far. */
      arrived: t.number,
      promptTokens: t.number,
      /** Requests that targets have begun and not ended. */
      running: t.number,
      /** Requests that wait for a target now. */
      waiting: t.number,
      /** Prompt tokens of the runs that were begun, and the milliseconds until their first pieces; sums so far. */
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
  /** Numbers of buckets and answers whose time fell there. */
  times: t.array(t.tuple([t.number, t.number])),
});

/** What the sender's sends to the versions of a service brought; sums of this incarnation. */
export const versionEvidence = t.type({
  kind: t.literal('version-evidence'),
  incarnation: t.string,
  service: t.string,
  /** Revision of the order. */
  order: t.number,
  /** Longest time since any VM saw the order, as far as the sender heard. */
  ageMs: t.number,
  /** Whether the sender sends nothing new to replaced targets, and what is under way there. */
  moves: t.boolean,
  underWay: t.number,
  sums: t.array(routeSums),
});

/** The sums of all VMs that told the sender. */
export const versionTotal = t.type({
  kind: t.literal('version-total'),
  service: t.string,
  order: t.number,
  ageMs: t.number,
  isBad: t.boolean,
  sums: t.array(routeSums),
});

/** One report. */
export type PeerReport =
  | t.TypeOf<typeof timeOfDay>
  | t.TypeOf<typeof usage>
  | t.TypeOf<typeof demand>
  | t.TypeOf<typeof versionEvidence>
  | t.TypeOf<typeof versionTotal>;
