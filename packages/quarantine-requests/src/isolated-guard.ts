/** A guard without peers or a store, for tests and measurements of one VM. */
import RequestGuard, { type RequestGuardOptions } from './request-guard.js';

type IsolatedGuardOptions = Pick<RequestGuardOptions, 'clock' | 'timers' | 'log' | 'metrics'>;

/** Creates a guard that takes every broken connection for a crash of its target. */
export default function createIsolatedGuard(options: IsolatedGuardOptions): RequestGuard {
  return new RequestGuard({
    ...options,
    random: { next: () => 0 },
    countVms: () => 1,
    countTargets: () => 1,
    checkTarget: () => Promise.resolve('ended'),
    hasEnded: () => Promise.resolve(false),
    hasRespondedSince: () => false,
    publish: () => undefined,
    storeQuarantine: () => Promise.resolve(),
    onQuarantineRefuted: () => undefined,
  });
}
