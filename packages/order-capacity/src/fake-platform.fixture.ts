/** Fake platform that carries out orders, loses answers and reclaims spot targets. */
import { PortFault } from '@limelead/errors';
import type { DutyAnswer, DutyCredentials, TargetOrder } from '@limelead/ports';
import { createManualTime } from '@limelead/stand-ins';
import type { ServiceTarget } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';

export const SERVICE = 'letters';
export const BOOT_MS = 4_000;

/** An order as received by the platform. */
export interface ReceivedOrder extends TargetOrder, DutyCredentials {
  atMs: number;
}

/** Creates the platform with this many plain targets in each domain. */
export default function createFakePlatform(domains: string[], plain: number, isFenced: boolean) {
  const time = createManualTime();
  const targets = new Map<string, ServiceTarget>();
  const desired = new Map<string, number>();
  const orders: ReceivedOrder[] = [];
  const domainsWithoutSpot = new Set<string>();
  let highestToken = 0;
  let nextId = 0;
  /** Faults of the next orders. */
  const faults = { losesAnswers: false, lateMs: 0 };

  function add(failureDomain: string, isSpot: boolean): void {
    nextId += 1;
    const id = `t${nextId}`;
    targets.set(id, {
      ...{ id, service: SERVICE, host: 'h', port: nextId, failureDomain, slots: 96 },
      ...{ leaving: false, isSpot },
    });
  }

  function listOf(failureDomain: string, isSpot: boolean): ServiceTarget[] {
    return [...targets.values()].filter(
      (target) =>
        target.failureDomain === failureDomain && target.isSpot === isSpot && !target.leaving,
    );
  }

  /** Adjusts the number of targets to the ordered count. */
  function adjustTargets(failureDomain: string, isSpot: boolean): void {
    const wanted = desired.get(`${failureDomain} ${isSpot}`) ?? 0;
    const present = listOf(failureDomain, isSpot);
    present.slice(wanted).forEach(({ id }) => targets.delete(id));
    for (let more = present.length; more < wanted; more += 1) {
      add(failureDomain, isSpot);
    }
  }

  function carryOut({ failureDomain, isSpot, count, token }: ReceivedOrder): DutyAnswer {
    if (isFenced && token < highestToken) {
      return 'refused';
    }
    highestToken = Math.max(highestToken, token);
    if (isSpot && domainsWithoutSpot.has(failureDomain)) {
      return 'refused';
    }
    const present = listOf(failureDomain, isSpot).length;
    desired.set(`${failureDomain} ${isSpot}`, count);
    const waitMs = count > present ? BOOT_MS : 0;
    time.timers.after(waitMs, () => adjustTargets(failureDomain, isSpot));
    return 'taken';
  }

  const platform = {
    reportUsage: () => async () => E.right<PortFault, DutyAnswer>('taken'),
    orderTargets: (credentials: DutyCredentials, order: TargetOrder) => async () => {
      const seen = { ...credentials, ...order, atMs: time.clock.now() };
      orders.push(seen);
      if (!faults.losesAnswers) {
        return E.right<PortFault, DutyAnswer>(carryOut(seen));
      }
      time.timers.after(faults.lateMs, () => void carryOut(seen));
      return E.left<PortFault, DutyAnswer>(new PortFault('timeout', 'maybe', 'no answer'));
    },
  };

  domains.forEach((name) => {
    desired.set(`${name} false`, plain);
    adjustTargets(name, false);
  });

  return {
    ...{ time, orders, domainsWithoutSpot, faults, targets, platform },
    count: (failureDomain: string, isSpot: boolean) => listOf(failureDomain, isSpot).length,
    total: () => [...targets.values()].filter(({ leaving }) => !leaving).length,
    /** Announces the removal of all spot targets of a domain, and removes them after the notice. */
    reclaim(failureDomain: string, noticeMs: number): void {
      domainsWithoutSpot.add(failureDomain);
      for (const target of listOf(failureDomain, true)) {
        targets.set(target.id, { ...target, leaving: true, leavesInMs: noticeMs });
        time.timers.after(noticeMs, () => targets.delete(target.id));
      }
    },
    /** Removes the targets of a domain from the list for a while. */
    loseDomain(failureDomain: string, forMs: number): void {
      const lost = [...targets.values()].filter((target) => target.failureDomain === failureDomain);
      lost.forEach(({ id }) => targets.delete(id));
      time.timers.after(forMs, () => lost.forEach((target) => targets.set(target.id, target)));
    },
  };
}
