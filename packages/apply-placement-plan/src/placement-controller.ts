/**
 * The one doer of placement. Any VM may become it by taking the lease. It gives
 * an order only while, by its own clock, its lease can not have lapsed; the
 * fence stops what a paused doer sends late at targets that check it. At those
 * that do not, orders are harmless when repeated or late: a load that is there
 * is no work, and a version that was unloaded late is loaded again by the next
 * plan, because plans are made from what targets report.
 */
import assemblePlacementPlan, {
  findUnusedVersions,
  type PendingLoad,
  type PlacedTarget,
  type PlacementLimits,
  type PlacementOrder,
} from '@limelead/assemble-placement-plan';
import { LeasedDuty, KeyValueLease } from '@limelead/hold-duty';
import type { Metrics } from '@limelead/metrics';
import type { EventBus } from '@limelead/observe-events';
import type { KeyValueStore, ModelEngine } from '@limelead/ports';
import {
  describeModelVersion,
  isSameModelVersion,
  type Clock,
  type Millis,
  type ModelVersion,
  type PlacementRule,
  type TargetId,
} from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';

const LEASE_NAME = 'limelead/placement';
const LEASE_TTL_MS = 6_000;
/** Part of the lease's time that is left unused, for clocks that run at different speeds. */
const LEASE_MARGIN_MS = 1_000;
/** Late orders are fenced or mended by the next plan: nothing waits for them to arrive. */
const ORDER_ARRIVAL_MS = 0;
/** For the same reason a holder that wins the lease back goes on at once. */
const REACQUIRE_DELAY_MS = 0;
/** An ordered load that does not show within this time is ordered again. */
const LOAD_TIMEOUT_MS = 120_000;

/** What the doer sees at one moment. */
export interface PlacementView {
  rules: PlacementRule[];
  currentVersions: ModelVersion[];
  targets: PlacedTarget[];
}

/** What a doer needs. */
export interface PlacementControllerOptions {
  store: KeyValueStore;
  clock: Clock;
  metrics: Metrics;
  bus: EventBus;
  /** Unique to this start of this VM's process. */
  incarnation: string;
  limits: PlacementLimits;
  readView(): PlacementView;
  findEngine(target: TargetId): ModelEngine | undefined;
}

/** Does placement while it holds the lease. */
export interface PlacementController {
  /** Renews the lease, plans, and gives orders; called at intervals. */
  reconcile(): Promise<void>;
  /** Gives the lease up, so that another VM goes on at once. */
  release(): Promise<void>;
}

interface TimedPendingLoad extends PendingLoad {
  orderedAtMs: Millis;
}

/** Creates the doer of one VM. */
export default function createPlacementController(
  dependencies: PlacementControllerOptions,
): PlacementController {
  const { store, clock, metrics, bus, incarnation, limits } = dependencies;
  let epoch = 0;
  let pendingLoads: TimedPendingLoad[] = [];
  const unusedSinceMs = new Map<string, Millis>();
  const seat = new KeyValueLease({
    store,
    name: LEASE_NAME,
    incarnation,
    ttlMs: LEASE_TTL_MS,
    clock,
  });
  const duty = new LeasedDuty({
    // The clock of this interface is the time of day, which counts a suspension by itself.
    ...{ holder: incarnation, clock, timeOfDay: clock },
    ...{ reacquireDelayMs: REACQUIRE_DELAY_MS, marginMs: LEASE_MARGIN_MS },
    onAcquired(token) {
      if (token !== epoch) {
        epoch = token;
        forgetWhatOthersMayHaveDone();
      }
      tell(token, 'held');
    },
    onLost: (token) => tell(token, 'lost'),
    onClockJump: () => undefined,
  });

  const tell = (token: number, state: 'held' | 'lost'): void =>
    bus.publish('', () => ({ kind: 'leaseChanged', lease: LEASE_NAME, epoch: token, state }));

  async function renew(): Promise<void> {
    const answer = await seat.renew()();
    duty.checkExpiry();
    if (E.isRight(answer)) {
      duty.onLeaseAnswer(answer.right);
    } else {
      metrics.count('limelead_lease_calls_failed_total', 1, { cause: answer.left.reason });
    }
  }

  function forgetWhatOthersMayHaveDone(): void {
    pendingLoads = [];
    unusedSinceMs.clear();
  }

  async function work(): Promise<void> {
    await renew();
    if (duty.permit(ORDER_ARRIVAL_MS) === undefined) {
      return;
    }
    const view = dependencies.readView();
    updatePendingLoads(view);
    const situation = { ...view, pendingLoads, now: clock.now(), limits };
    updateUnused(findUnusedVersions(situation));
    for (const order of assemblePlacementPlan({ ...situation, unusedSinceMs })) {
      await give(order);
    }
  }

  function updatePendingLoads({ targets }: PlacementView): void {
    const isUnderWay = (load: TimedPendingLoad): boolean => {
      const target = targets.find(({ id }) => id === load.targetId);
      const shows = target?.loaded.some((version) =>
        isSameModelVersion(version, load.modelVersion),
      );
      const isOld = clock.now() - load.orderedAtMs > LOAD_TIMEOUT_MS;
      return target !== undefined && shows !== true && !isOld;
    };
    pendingLoads = pendingLoads.filter(isUnderWay);
  }

  function updateUnused(unused: ModelVersion[]): void {
    const names = new Set(unused.map(describeModelVersion));
    for (const name of unusedSinceMs.keys()) {
      if (!names.has(name)) {
        unusedSinceMs.delete(name);
      }
    }
    for (const name of names) {
      unusedSinceMs.set(name, unusedSinceMs.get(name) ?? clock.now());
    }
  }

  async function give(order: PlacementOrder): Promise<void> {
    const engine = dependencies.findEngine(order.targetId);
    // Looked at again for each order: the process may have been paused since the last.
    const permit = duty.permit(ORDER_ARRIVAL_MS);
    if (engine === undefined || permit === undefined) {
      return;
    }
    const { targetId, action, modelVersion } = order;
    const { token } = permit;
    const outcome = await engine.order({ action, modelVersion, fence: token })();
    const result = E.isRight(outcome) ? 'taken' : outcome.left.reason;
    if (E.isRight(outcome) && action === 'load') {
      pendingLoads = [...pendingLoads, { targetId, modelVersion, orderedAtMs: clock.now() }];
    }
    metrics.count('limelead_orders_total', 1, { action, outcome: result });
    bus.publish('', () => ({
      kind: 'orderGiven',
      target: targetId,
      order: `${action} ${describeModelVersion(modelVersion)}`,
      fence: token,
      outcome: result,
    }));
  }

  return {
    reconcile: work,
    async release() {
      if (duty.sentAtMs !== undefined) {
        duty.giveUp();
        await seat.release()();
      }
    },
  };
}
