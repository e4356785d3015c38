/** Rate limits that targets advertise for all VMs together, and requests that wait for a permit. */
import type { Millis } from './time.js';

/** The rate limit in a response. */
export type AdvertisedLimit =
  | { kind: 'none' }
  | { kind: 'rate'; perSecond: number }
  /** A header value that is no rate; it limits nothing. */
  | { kind: 'unreadable'; text: string };

/** A request that waits for a permit to be sent. */
export interface WaitingRequest {
  /** Number of the request at its VM, from 1. */
  id: number;
  /** 0 is the most urgent. */
  rank: number;
  /** Steady time at which the request stops waiting. */
  untilMs: Millis;
}

/** A refusal of a waiting request that can't get a permit in time. */
export interface PermitRefusal {
  /** Time until the request can be served. */
  retryAfterMs: Millis;
  /** The VM that decided. */
  grantedBy: string;
}

/** The requests of one VM that wait for a target. */
export interface WaitingRequestQueue {
  /** Waiting requests for a service, in the order in which they are served. */
  list(service: string): readonly WaitingRequest[];
  /** Sends waiting requests that have a target now. */
  serve(): void;
  /** Refuses the waiting request with that id. */
  refuse(want: number, refusal: PermitRefusal): void;
  /** Whether no request can be sent to a target now for a reason other than its limit. */
  isAvoided(target: string): boolean;
}
