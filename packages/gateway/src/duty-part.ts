/** The part that stands for the duties of one VM at a time, and holds them where it can. */
import { ConditionalSeat, DutyKeeper, HeldDuty, type Duty } from '@limelead/hold-duty';
import { systemClock } from '@limelead/types';
import { randomUUID } from 'node:crypto';
import type { FleetPart, FleetPartContext } from './fleet-part.js';
import formatAddress from './format-address.js';
import { DUTY_KEY } from './own-keys.js';
import type { DutySettings } from './settings.js';

/**
 * Time from the start until a VM stands, in milliseconds. By then it was named all
 * others; before, each VM of a fleet that starts would think itself the only candidate.
 */
const STAND_AFTER_MS = 2_500;
/**
 * Part of a lease that is left unused, in milliseconds. Clocks run alike to a thousandth, 3 ms
 * of a lease; the rest is for a busy process, whose call leaves some time behind the check.
 */
const LEASE_MARGIN_MS = 200;

/** A part, and the duty that it holds or does not. */
export interface DutyPart extends FleetPart {
  duty: Duty;
  /** This VM can't carry the duty out; it gives it up where others stand. */
  stepAside(): void;
}

/**
 * Creates the part. One lease covers all duties of a key, so that one VM does all of them.
 */
export default function createDutyPart(
  context: FleetPartContext,
  { leaseMs, key = DUTY_KEY }: Pick<DutySettings, 'leaseMs'> & { key?: string },
): DutyPart {
  const { settings, platform, clock, timers, random, log, metrics, knowledge } = context;
  const startedAtMs = clock.now();
  const duty = new HeldDuty({
    holder: settings.vm,
    clock,
    timeOfDay: systemClock,
    quietMs: leaseMs,
    marginMs: LEASE_MARGIN_MS,
    onTaken(token, mayActInMs) {
      metrics.count('limelead_duty_changes_total', 1, { change: 'taken' });
      log.write('duty-taken', { token, mayActInMs: Math.round(mayActInMs) });
    },
    onLost(token, loss, leaseAgeMs) {
      metrics.count('limelead_duty_changes_total', 1, { change: loss });
      log.write('duty-lost', { token, loss, leaseAgeMs: Math.round(leaseAgeMs) });
    },
    onLostTime(lostMs) {
      metrics.count('limelead_time_lost_total');
      log.write('time-lost', { lostMs: Math.round(lostMs) });
    },
  });
  const readPlace = (): number | undefined => {
    const candidates = context.readExchange()?.dutyCandidates;
    if (clock.now() - startedAtMs < STAND_AFTER_MS) {
      return undefined;
    }
    if (candidates === undefined || settings.peers === undefined) {
      return 0;
    }
    const place = candidates.indexOf(formatAddress(settings.peers));
    return place < 0 ? undefined : place;
  };
  const seat = new ConditionalSeat({
    store: platform.storeItems,
    key,
    vm: settings.vm,
    incarnation: randomUUID(),
    ttlMs: leaseMs,
    clock,
  });
  const keeper = new DutyKeeper({
    seat,
    duty,
    clock,
    timers,
    random,
    ttlMs: leaseMs,
    readPlace,
    readCutOffSinceMs: () => context.readExchange()?.isolatedSinceMs,
    isTaken: () => (knowledge.revision > 0 ? knowledge.has(key) : undefined),
    onFault: (step, { reason, sent, message }) =>
      log.write('duty-call-failed', { step, reason, sent, message }),
  });
  metrics.gauge('limelead_duty_held', () => (duty.sentAtMs === undefined ? 0 : 1));
  return {
    duty,
    stepAside() {
      const others = context.readExchange()?.linkedCandidates ?? [];
      if (others.length > 0) {
        log.write('duty-left-to-others', { candidates: others.map(({ peer }) => peer) });
        keeper.stepAside();
      }
    },
    start: () => keeper.start(),
    handOver: () => keeper.handOver(),
  };
}
