/**
 * Messages between VMs about places at targets. Durations replace times, since the clocks of VMs
 * differ, and lists replace objects, since the messages cross failure domains at the operator's cost.
 */
import type { Millis } from '@limelead/types';

/** Calls of a VM in progress at each target: [target, calls]; idle targets are omitted. */
export type CallsInProgress = [target: string, calls: number][];

/** Fields of a waiting call that most calls don't have. */
export interface WantDetails {
  organisation?: string;
  isRepeat?: boolean;
  /** Targets that failed the call. */
  avoid?: string[];
  /** Hash of the request and its number at the asking VM; see `RequestMark`. */
  mark?: [hash: string, number: number];
}

/** A waiting call; `id` identifies it at its VM. */
export type Want = [
  id: number,
  rank: number,
  objectiveLeftMs: Millis,
  leftMs: Millis,
  details: WantDetails,
];

/** Calls in progress of the sender. Sent to the queue VM only. */
export interface ReportCalls {
  service: string;
  inFlight: CallsInProgress;
  /** Number of the last `GivePlaces` of the receiver that `inFlight` includes. */
  received: number;
}

/** Switches queueing on for a time, or off. */
export interface QueueState {
  service: string;
  isQueued: boolean;
  ttlMs: Millis;
}

/** Asks for places. */
export interface AskPlaces {
  service: string;
  /** True if calls that are not listed wait no more. */
  isWhole: boolean;
  wants: Want[];
  /** Targets that the sender can't use now. */
  avoid: string[];
  /** Number of the last `GivePlaces` of the receiver that arrived before. */
  received: number;
}

/** Gives places and refuses calls; without either it only shows that the queue VM works. */
export interface GivePlaces {
  service: string;
  /** Counts the messages to the VM from 1. */
  number: number;
  /** The waiting call and its target. */
  grants: [want: number, target: string][];
  refusals: [want: number, retryAfterMs: Millis][];
}

/** A call ended, or a granted place was not used. */
export interface PlaceReleased {
  service: string;
  target: string;
  /** Time from place to answer; null if there was no answer or the place was not used. */
  tookMs: Millis | null;
  /** True if the target did not accept the call. */
  isRejected: boolean;
}

/** Any message about places. */
export type QueueMessage =
  | ({ kind: 'report-calls' } & ReportCalls)
  | ({ kind: 'queue-state' } & QueueState)
  | ({ kind: 'ask-places' } & AskPlaces)
  | ({ kind: 'give-places' } & GivePlaces)
  | ({ kind: 'release-place' } & PlaceReleased);
