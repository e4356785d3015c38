/**
 * Places model versions while this VM holds the placement lease. Orders carry the lease's epoch as
 * a fence. Targets that do not check it may carry out late orders of an earlier holder; the next
 * plan corrects these, since plans are made from what targets report.
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
  formatModelVersion,
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
/** Unused end of the lease, for clocks that run at different speeds. */
const LEASE_MARGIN_MS = 1_000;
/** Late orders are fenced or corrected by the next plan, so nothing waits for them to arrive. */
const ORDER_ARRIVAL_MS = 0;
/** For the same reason a VM that regains the lease continues at once. */
const REACQUIRE_DELAY_MS = 0;
/** Time after which an ordered load that is not reported is ordered again. */
const LOAD_TIMEOUT_MS = 120_000;

/** Rules, versions and targets at one moment. */
export interface PlacementView {
  rules: PlacementRule[];
  currentVersions: ModelVersion[];
  targets: PlacedTarget[];
}

/** Dependencies of the placement controller. */
export interface PlacementControllerOptions {
  store: KeyValueStore;
  clock: Clock;
  metrics: Metrics;
  bus: EventBus;
  /** Unique id of this process. */
  incarnation: string;
  limits: PlacementLimits;
  readView(): PlacementView;
  findEngine(target: TargetId): ModelEngine | undefined;
}

/** Sends placement orders while it holds the lease. */
export interface PlacementController {
  /** Renews the lease, plans and sends orders; called at intervals. */
  reconcile(): Promise<void>;
  /** Releases the lease, so that another VM can take over at once. */
  release(): Promise<void>;
}

interface TimedPendingLoad extends PendingLoad {
  orderedAtMs: Millis;
}

/** Creates the placement controller of one VM. */
export default function createPlacementController(
  dependencies: PlacementControllerOptions,
): PlacementController {
  const { store, clock, metrics, bus, incarnation, limits } = dependencies;
  let epoch = 0;
  let pendingLoads: TimedPendingLoad[] = [];
  const unusedSinceMs = new Map<string, Millis>();
  const lease = new KeyValueLease({
    store,
    name: LEASE_NAME,
    incarnation,
    ttlMs: LEASE_TTL_MS,
    clock,
  });
  const duty = new LeasedDuty({
    // The clock is the time of day, so no time is lost while the VM is suspended.
    ...{ holder: incarnation, clock, timeOfDay: clock },
    ...{ reacquireDelayMs: REACQUIRE_DELAY_MS, marginMs: LEASE_MARGIN_MS },
    onAcquired(token) {
      if (token !== epoch) {
        epoch = token;
        resetState();
      }
      publishLease(token, 'held');
    },
    onLost: (token) => publishLease(token, 'lost'),
    onClockJump: () => undefined,
  });

  const publishLease = (token: number, state: 'held' | 'lost'): void =>
    bus.publish('', () => ({ kind: 'leaseChanged', lease: LEASE_NAME, epoch: token, state }));

  async function renew(): Promise<void> {
    const answer = await lease.renew()();
    duty.checkExpiry();
    if (E.isRight(answer)) {
      duty.onLeaseAnswer(answer.right);
    } else {
      metrics.count('limelead_lease_calls_failed_total', 1, { cause: answer.left.reason });
    }
  }

  function resetState(): void {
    pendingLoads = [];
    unusedSinceMs.clear();
  }

  async function reconcile(): Promise<void> {
    await renew();
    if (duty.permit(ORDER_ARRIVAL_MS) === undefined) {
      return;
    }
    const view = dependencies.readView();
    updatePendingLoads(view);
    const inputs = { ...view, pendingLoads, now: clock.now(), limits };
    updateUnused(findUnusedVersions(inputs));
    for (const order of assemblePlacementPlan({ ...inputs, unusedSinceMs })) {
      await sendOrder(order);
    }
  }

  function updatePendingLoads({ targets }: PlacementView): void {
    const isInProgress = (load: TimedPendingLoad): boolean => {
      const target = targets.find(({ id }) => id === load.targetId);
      const isReported = target?.loaded.some((version) =>
        isSameModelVersion(version, load.modelVersion),
      );
      const isExpired = clock.now() - load.orderedAtMs > LOAD_TIMEOUT_MS;
      return target !== undefined && isReported !== true && !isExpired;
    };
    pendingLoads = pendingLoads.filter(isInProgress);
  }

  function updateUnused(unused: ModelVersion[]): void {
    const names = new Set(unused.map(formatModelVersion));
    for (const name of unusedSinceMs.keys()) {
      if (!names.has(name)) {
        unusedSinceMs.delete(name);
      }
    }
    for (const name of names) {
      unusedSinceMs.set(name, unusedSinceMs.get(name) ?? clock.now());
    }
  }

  async function sendOrder(order: PlacementOrder): Promise<void> {
    const engine = dependencies.findEngine(order.targetId);
    // Checked before each order, since the process may have been paused.
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
      order: `${action} ${formatModelVersion(modelVersion)}`,
      fence: token,
      outcome: result,
    }));
  }

  return {
    reconcile,
    async release() {
      if (duty.sentAtMs !== undefined) {
        duty.giveUp();
        await lease.release()();
      }
    },
  };
}
