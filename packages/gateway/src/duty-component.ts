/** Makes this VM a candidate for duties that one VM at a time holds, and holds them when it can. */
import { ConditionalStoreLease, DutyElector, LeasedDuty, type Duty } from '@limelead/hold-duty';
import { systemClock } from '@limelead/types';
import { randomUUID } from 'node:crypto';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';
import formatAddress from './format-address.js';
import { DUTY_KEY } from './store-keys.js';
import type { DutySettings } from './settings.js';

/**
 * Time after the start before a VM becomes a candidate. Until it has learned of its
 * peers, every VM of a starting fleet would see itself as the only candidate.
 */
const CANDIDACY_DELAY_MS = 2_500;
/**
 * Unused end of a lease; covers clock drift and the delay between the lease check and the call.
 * Clocks drift by up to a thousandth, 3 ms of a lease; the rest is for a busy process.
 */
const LEASE_MARGIN_MS = 200;

/** A component with a duty that this VM may hold. */
export interface DutyComponent extends FleetComponent {
  duty: Duty;
  /** Releases the duty if this VM can't perform it and a linked peer is a candidate. */
  yieldDuty(): void;
}

/** Creates the component. One lease covers all duties of a key, so one VM holds them all. */
export default function createDutyComponent(
  context: FleetComponentContext,
  { leaseMs, key = DUTY_KEY }: Pick<DutySettings, 'leaseMs'> & { key?: string },
): DutyComponent {
  const { settings, platform, clock, timers, random, log, metrics, storeView } = context;
  const startedAtMs = clock.now();
  const duty = new LeasedDuty({
    holder: settings.vm,
    clock,
    timeOfDay: systemClock,
    reacquireDelayMs: leaseMs,
    marginMs: LEASE_MARGIN_MS,
    onAcquired(token, mayActInMs) {
      metrics.count('limelead_duty_changes_total', 1, { change: 'taken' });
      log.write('duty-taken', { token, mayActInMs: Math.round(mayActInMs) });
    },
    onLost(token, loss, leaseAgeMs) {
      metrics.count('limelead_duty_changes_total', 1, { change: loss });
      log.write('duty-lost', { token, loss, leaseAgeMs: Math.round(leaseAgeMs) });
    },
    onClockJump(lostMs) {
      metrics.count('limelead_time_lost_total');
      log.write('time-lost', { lostMs: Math.round(lostMs) });
    },
  });
  const findCandidateIndex = (): number | undefined => {
    const candidates = context.readExchange()?.dutyCandidates;
    if (clock.now() - startedAtMs < CANDIDACY_DELAY_MS) {
      return undefined;
    }
    if (candidates === undefined || settings.peers === undefined) {
      return 0;
    }
    const index = candidates.indexOf(formatAddress(settings.peers));
    return index < 0 ? undefined : index;
  };
  const storeLease = new ConditionalStoreLease({
    store: platform.storeItems,
    key,
    vm: settings.vm,
    incarnation: randomUUID(),
    ttlMs: leaseMs,
    clock,
  });
  const elector = new DutyElector({
    lease: storeLease,
    duty,
    clock,
    timers,
    random,
    ttlMs: leaseMs,
    readCandidateRank: findCandidateIndex,
    readIsolatedSinceMs: () => context.readExchange()?.isolatedSinceMs,
    isHeldInStore: () => (storeView.revision > 0 ? storeView.has(key) : undefined),
    onFault: (step, { reason, sent, message }) =>
      log.write('duty-call-failed', { step, reason, sent, message }),
  });
  metrics.gauge('limelead_duty_held', () => (duty.sentAtMs === undefined ? 0 : 1));
  return {
    duty,
    yieldDuty() {
      const others = context.readExchange()?.linkedDutyCandidates ?? [];
      if (others.length > 0) {
        log.write('duty-left-to-others', { candidates: others.map(({ peer }) => peer) });
        elector.yieldToOthers();
      }
    },
    start: () => elector.start(),
    handOver: () => elector.handOver(),
  };
}
