/** A platform that carries orders out, loses answers and takes spot targets away. */
import { PortFault } from '@limelead/errors';
import type { DutyAnswer, DutyCredentials, TargetOrder } from '@limelead/ports';
import { createManualTime } from '@limelead/stand-ins';
import type { ServiceTarget } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';

export const SERVICE = 'letters';
export const BOOT_MS = 4_000;

/** One order that the platform saw. */
export interface ReceivedOrder extends TargetOrder, DutyCredentials {
  atMs: number;
}

/** Creates it, with so many plain targets in each domain. */
export default function createFakePlatform(domains: string[], plain: number, isFenced: boolean) {
  const time = createManualTime();
  const targets = new Map<string, ServiceTarget>();
  const desired = new Map<string, number>();
  const orders: ReceivedOrder[] = [];
  const dry = new Set<string>();
  let highestToken = 0;
  let nextId = 0;
  /** Says what becomes of the next orders. */
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

  /** Brings the number that is there to the number that is ordered. */
  function settleOrders(failureDomain: string, isSpot: boolean): void {
    const want = desired.get(`${failureDomain} ${isSpot}`) ?? 0;
    const there = listOf(failureDomain, isSpot);
    there.slice(want).forEach(({ id }) => targets.delete(id));
    for (let more = there.length; more < want; more += 1) {
      add(failureDomain, isSpot);
    }
  }

  function carryOut({ failureDomain, isSpot, count, token }: ReceivedOrder): DutyAnswer {
    if (isFenced && token < highestToken) {
      return 'refused';
    }
    highestToken = Math.max(highestToken, token);
    if (isSpot && dry.has(failureDomain)) {
      return 'refused';
    }
    const there = listOf(failureDomain, isSpot).length;
    desired.set(`${failureDomain} ${isSpot}`, count);
    const waitMs = count > there ? BOOT_MS : 0;
    time.timers.after(waitMs, () => settleOrders(failureDomain, isSpot));
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
    settleOrders(name, false);
  });

  return {
    ...{ time, orders, dry, faults, targets, platform },
    count: (failureDomain: string, isSpot: boolean) => listOf(failureDomain, isSpot).length,
    total: () => [...targets.values()].filter(({ leaving }) => !leaving).length,
    /** All spot targets of a domain get their notice, and are gone after it. */
    reclaim(failureDomain: string, noticeMs: number): void {
      dry.add(failureDomain);
      for (const target of listOf(failureDomain, true)) {
        targets.set(target.id, { ...target, leaving: true, leavesInMs: noticeMs });
        time.timers.after(noticeMs, () => targets.delete(target.id));
      }
    },
    /** Targets of a domain are away from the list for a while. */
    loseDomain(failureDomain: string, forMs: number): void {
      const lost = [...targets.values()].filter((target) => target.failureDomain === failureDomain);
      lost.forEach(({ id }) => targets.delete(id));
      time.timers.after(forMs, () => lost.forEach((target) => targets.set(target.id, target)));
    },
  };
}
