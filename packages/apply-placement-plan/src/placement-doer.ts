/**
 * The one doer of placement. Any VM may become it by taking the lease. It gives
 * an order only while, by its own clock, its lease can not have lapsed; the
 * fence stops what a paused doer sends late at targets that check it. At those
 * that do not, orders are harmless when repeated or late: a load that is there
 * is no work, and a version that was unloaded late is loaded again by the next
 * plan, because plans are made from what targets report.
 */
import assemblePlacementPlan, {
  findUnwanted,
  type PendingLoad,
  type PlacedTarget,
  type PlacementLimits,
  type PlannedOrder,
} from '@limelead/assemble-placement-plan';
import { HeldDuty, KeyValueSeat } from '@limelead/hold-duty';
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
/** Part of the lease's time that is left unused, for clocks that run at different speeds. */
const LEASE_MARGIN_MS = 1_000;
/** Late orders are fenced or mended by the next plan: nothing waits for them to arrive. */
const ARRIVAL_MS = 0;
/** For the same reason a holder that wins the lease back goes on at once. */
const NO_QUIET_MS = 0;
/** An ordered load that does not show within this time is ordered again. */
const LOAD_TIMEOUT_MS = 120_000;

/** What the doer sees at one moment. */
export interface PlacementView {
  rules: PlacementRule[];
  current: ModelVersion[];
  targets: PlacedTarget[];
}

/** What a doer needs. */
export interface PlacementDoerDependencies {
  store: KeyValueStore;
  clock: Clock;
  metrics: Metrics;
  bus: EventBus;
  /** Unique to this start of this VM's process. */
  incarnation: string;
  limits: PlacementLimits;
  view(): PlacementView;
  engineOf(target: TargetId): ModelEngine | undefined;
}

/** Does placement while it holds the lease. */
export interface PlacementDoer {
  /** Renews the lease, plans, and gives orders; called at intervals. */
  work(): Promise<void>;
  /** Gives the lease up, so that another VM goes on at once. */
  release(): Promise<void>;
}

interface DatedLoad extends PendingLoad {
  orderedAtMs: Millis;
}

/** Creates the doer of one VM. */
export default function createPlacementDoer(
  dependencies: PlacementDoerDependencies,
): PlacementDoer {
  const { store, clock, metrics, bus, incarnation, limits } = dependencies;
  let epoch = 0;
  let pending: DatedLoad[] = [];
  const unwantedSince = new Map<string, Millis>();
  const seat = new KeyValueSeat({
    store,
    name: LEASE_NAME,
    incarnation,
    ttlMs: LEASE_TTL_MS,
    clock,
  });
  const duty = new HeldDuty({
    // The clock of this interface is the time of day, which counts a suspension by itself.
    ...{ holder: incarnation, clock, timeOfDay: clock },
    ...{ quietMs: NO_QUIET_MS, marginMs: LEASE_MARGIN_MS },
    onTaken(token) {
      if (token !== epoch) {
        epoch = token;
        forgetWhatOthersMayHaveDone();
      }
      tell(token, 'held');
    },
    onLost: (token) => tell(token, 'lost'),
    onLostTime: () => undefined,
  });

  const tell = (token: number, state: 'held' | 'lost'): void =>
    bus.publish('', () => ({ kind: 'leaseChanged', lease: LEASE_NAME, epoch: token, state }));

  async function renew(): Promise<void> {
    const answer = await seat.renew()();
    duty.noteTime();
    if (E.isRight(answer)) {
      duty.noteAnswer(answer.right);
    } else {
      metrics.count('limelead_lease_calls_failed_total', 1, { cause: answer.left.reason });
    }
  }

  function forgetWhatOthersMayHaveDone(): void {
    pending = [];
    unwantedSince.clear();
  }

  async function work(): Promise<void> {
    await renew();
    if (duty.permit(ARRIVAL_MS) === undefined) {
      return;
    }
    const view = dependencies.view();
    notePending(view);
    const situation = { ...view, pending, now: clock.now(), limits };
    noteUnwanted(findUnwanted(situation));
    for (const order of assemblePlacementPlan({ ...situation, unwantedSince })) {
      await give(order);
    }
  }

  function notePending({ targets }: PlacementView): void {
    const isUnderWay = (load: DatedLoad): boolean => {
      const target = targets.find(({ id }) => id === load.targetId);
      const shows = target?.loaded.some((version) =>
        isSameModelVersion(version, load.modelVersion),
      );
      const isOld = clock.now() - load.orderedAtMs > LOAD_TIMEOUT_MS;
      return target !== undefined && shows !== true && !isOld;
    };
    pending = pending.filter(isUnderWay);
  }

  function noteUnwanted(unwanted: ModelVersion[]): void {
    const names = new Set(unwanted.map(formatModelVersion));
    for (const name of unwantedSince.keys()) {
      if (!names.has(name)) {
        unwantedSince.delete(name);
      }
    }
    for (const name of names) {
      unwantedSince.set(name, unwantedSince.get(name) ?? clock.now());
    }
  }

  async function give(order: PlannedOrder): Promise<void> {
    const engine = dependencies.engineOf(order.targetId);
    // Looked at again for each order: the process may have been paused since the last.
    const permit = duty.permit(ARRIVAL_MS);
    if (engine === undefined || permit === undefined) {
      return;
    }
    const { targetId, action, modelVersion } = order;
    const { token } = permit;
    const outcome = await engine.order({ action, modelVersion, fence: token })();
    const result = E.isRight(outcome) ? 'taken' : outcome.left.reason;
    if (E.isRight(outcome) && action === 'load') {
      pending = [...pending, { targetId, modelVersion, orderedAtMs: clock.now() }];
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
    work,
    async release() {
      if (duty.sentAtMs !== undefined) {
        duty.giveUp();
        await seat.release()();
      }
    },
  };
}
