/** Directives that targets give in the headers of their responses. */
import type { AdvertisedLimit } from './permits.js';
import type { Millis } from './time.js';

/** Time for which a target that rejected a request wants no requests from this VM. */
export type RequestedCooldown =
  { kind: 'none' } | { kind: 'delay'; delayMs: Millis } | { kind: 'unreadable'; text: string };

/** Work at a target as it states in its responses; changes many times per second. */
export interface StatedLoad {
  running: number;
  waiting: number;
  slots: number;
  /** Present duration of work there, 100 is usual; undefined if the target does not state it. */
  pacePercent?: number;
}

/** The load in one response. */
export type AdvertisedLoad =
  { kind: 'none' } | ({ kind: 'load' } & StatedLoad) | { kind: 'unreadable'; text: string };

/** Whether a target ends if it has to reject too many requests; every response says so meanwhile. */
export type AdvertisedBrittleness =
  | { kind: 'none' }
  /** Rejections a second, of all VMs together, that the target survives. */
  | { kind: 'brittle'; rejectionsPerSecond: number }
  | { kind: 'unreadable'; text: string };

/** All directives of one response. */
export interface TargetDirectives {
  /** Rate limit for all VMs together. */
  limit: AdvertisedLimit;
  cooldown: RequestedCooldown;
  /** Whether the target accepts no new requests from any VM from now on. */
  isLeaving: boolean;
  load: AdvertisedLoad;
  brittleness: AdvertisedBrittleness;
}

/** A response without directives. */
export const NO_DIRECTIVES: TargetDirectives = {
  limit: { kind: 'none' },
  cooldown: { kind: 'none' },
  isLeaving: false,
  load: { kind: 'none' },
  brittleness: { kind: 'none' },
};

/** The directives of a response and the request that it answered. */
export interface DirectiveResponse {
  /** Id of the incarnation that answered. */
  target: string;
  /** The answered request, and when it was sent; steady time. */
  requestId: string;
  sentAtMs: Millis;
  directives: TargetDirectives;
}
