/** A guard without peers or a store, for tests and measurements of one VM. */
import RequestGuard, { type RequestGuardOptions } from './request-guard.js';

type IsolatedGuardOptions = Pick<RequestGuardOptions, 'clock' | 'timers' | 'log' | 'metrics'> &
  Partial<Pick<RequestGuardOptions, 'checkTarget'>>;

/** Creates a guard that by default takes every broken connection for a crash of its target. */
export default function createIsolatedGuard(options: IsolatedGuardOptions): RequestGuard {
  return new RequestGuard({
    checkTarget: () => Promise.resolve('ended'),
    ...options,
    random: { next: () => 0 },
    countVms: () => 1,
    countTargets: () => 1,
    hasEnded: () => Promise.resolve(false),
    hasRespondedSince: () => false,
    publish: () => undefined,
    storeQuarantine: () => Promise.resolve(),
    onQuarantineRefuted: () => undefined,
  });
}
