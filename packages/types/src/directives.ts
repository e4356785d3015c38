/** What the headers of an answer say of how its target wants to be treated. */
import type { AdvertisedLimit } from './permits.js';
import type { Millis } from './time.js';

/** For how long a target that turned a request away wants nothing from this VM. */
export type RequestedCooldown =
  { kind: 'none' } | { kind: 'delay'; delayMs: Millis } | { kind: 'unreadable'; text: string };

/** Everything that one answer asks for. */
export interface TargetDirectives {
  /** Requests a second from all VMs together. */
  limit: AdvertisedLimit;
  cooldown: RequestedCooldown;
  /** True where the target takes no new work from any VM from now on. */
  isLeaving: boolean;
}

/** An answer that asks for nothing. */
export const NO_DIRECTIVES: TargetDirectives = {
  limit: { kind: 'none' },
  cooldown: { kind: 'none' },
  isLeaving: false,
};

/** An answer of a target, as far as it tells how to treat it. */
export interface DirectiveResponse {
  /** Id of the incarnation that answered. */
  target: string;
  /** The request that was answered, and when it was sent; steady time. */
  requestId: string;
  sentAtMs: Millis;
  directives: TargetDirectives;
}
