/** Limits that targets name on the requests of all VMs together, and requests that wait for a permit. */
import type { Millis } from './time.js';

/** What an answer says of the requests a second that its target takes from all VMs together. */
export type AdvertisedLimit =
  | { kind: 'none' }
  | { kind: 'rate'; perSecond: number }
  /** Something stands where a rate should; it limits nothing. */
  | { kind: 'unreadable'; text: string };

/** A request that waits for a permit to be sent. */
export interface Want {
  /** Number of the request at its VM, from 1. */
  id: number;
  /** 0 is the most urgent. */
  rank: number;
  /** Steady time at which waiting ends. */
  untilMs: Millis;
}

/** No permit comes in time for a request that waits. */
export interface PermitRefusal {
  /** When there is room for the request. */
  retryAfterMs: Millis;
  /** The VM that counted what all VMs ask for. */
  grantedBy: string;
}

/** The requests of one VM that wait for a target. */
export interface WaitingRequests {
  /** Those for a service, in the order in which they are served. */
  list(service: string): readonly Want[];
  /** Some may find a place now. */
  serve(): void;
  refuse(want: number, refusal: PermitRefusal): void;
  /** Whether nothing can be sent to a target now, for another reason than its limit. */
  isAvoided(target: string): boolean;
}
