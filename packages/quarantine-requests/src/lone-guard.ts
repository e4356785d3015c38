/** A guard that shares its evidence with nobody, for tests and measurements of one VM. */
import RequestGuard, { type RequestGuardOptions } from './request-guard.js';

/** What it needs. */
type LoneGuardOptions = Pick<RequestGuardOptions, 'clock' | 'timers' | 'log' | 'metrics'>;

/** Creates it. A target under which a connection breaks is taken to have ended. */
export default function createLoneGuard(options: LoneGuardOptions): RequestGuard {
  return new RequestGuard({
    ...options,
    random: { next: () => 0 },
    countVms: () => 1,
    hasEnded: () => Promise.resolve(true),
    wasHeardSince: () => false,
    tell: () => undefined,
    onProved: () => Promise.resolve(),
    onRefuted: () => undefined,
  });
}
