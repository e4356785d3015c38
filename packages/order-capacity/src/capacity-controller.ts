/**
 * Orders targets while this VM holds the duty. A new holder starts from the present targets and the
 * reported load; the effect of earlier orders shows in the targets of the store.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { Duty } from '@limelead/hold-duty';
import type { Metrics } from '@limelead/metrics';
import type { DutyAnswer, DutyPlatform } from '@limelead/ports';
import type { Clock, Millis, ServedService, ServiceTarget, Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import CallRateLimiter from './call-rate-limiter.js';
import type DemandTracker from './demand-tracker.js';
import createDomainViews, { type DomainView } from './domain-view.js';
import planOrders, { type TargetKind, type PlannedOrder } from './plan-orders.js';
import ServiceOrderState from './service-order-state.js';
import ServicePlanner, { type ServicePlan } from './service-plan.js';
import type { CapacitySettings } from './settings.js';

/** Time between two planning passes; short enough to order within a second of a change. */
const PLAN_INTERVAL_MS = 250;
/** Time until an order's call is given up; the duty must last at least this long. */
const ORDER_TIMEOUT_MS = 1_000;
/** Share of all duty calls that orders may use; usage reports need the rest. */
const CALL_SHARE = 0.5;

/** Dependencies of the capacity controller. */
export interface CapacityControllerOptions {
  duty: Duty;
  platform: DutyPlatform;
  clock: Clock;
  timers: Timers;
  log: DecisionLog;
  metrics: Metrics;
  settings: CapacitySettings;
  /** Calls per second that the platform accepts for all duties together. */
  callsPerSecond: number;
  demand: DemandTracker;
  listServices(): readonly ServedService[];
  listTargets(service: string): ServiceTarget[];
}

/** A service whose targets this system orders. */
type ScaledService = ServedService & Required<Pick<ServedService, 'engine' | 'scaling'>>;

interface ServiceState {
  planner: ServicePlanner;
  orders: ServiceOrderState;
  plan?: ServicePlan;
  views: Map<string, DomainView>;
}

/** Plans and orders targets at intervals. */
export default class CapacityController {
  private readonly services = new Map<string, ServiceState>();
  private readonly gaugeKeys = new Set<string>();
  private readonly rate: CallRateLimiter;
  private token: number | undefined;
  private isStopped = false;

  constructor(private readonly options: CapacityControllerOptions) {
    this.rate = new CallRateLimiter(options.callsPerSecond * CALL_SHARE);
  }

  start(): void {
    this.options.timers.after(PLAN_INTERVAL_MS, () => {
      if (!this.isStopped) {
        this.runPass();
        this.start();
      }
    });
  }

  stop(): void {
    this.isStopped = true;
  }

  private runPass(): void {
    const { duty, listServices } = this.options;
    const token = duty.permit(ORDER_TIMEOUT_MS)?.token;
    if (token === undefined) {
      return;
    }
    if (token !== this.token) {
      // Another holder may have changed earlier orders since the last token.
      this.services.clear();
      this.token = token;
    }
    const scaled = listServices().filter(isScaled);
    const names = new Set(scaled.map(({ name }) => name));
    [...this.services.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.services.delete(name));
    scaled.forEach((service) => this.planService(service));
  }

  private planService(service: ScaledService): void {
    const { clock, demand, listTargets, log } = this.options;
    const { name, scaling, engine } = service;
    const now = clock.now();
    const state = this.getState(name);
    const { orders, planner } = state;
    state.views = createDomainViews(listTargets(name), scaling);
    for (const failureDomain of orders.onViews(state.views, now)) {
      log.write('spot-targets-reclaimed', { service: name, failureDomain });
    }
    state.plan = planner.plan({
      now,
      scaling,
      engine,
      demand: demand.estimate(name, now),
      views: state.views,
      isSpotUnavailable: (domain) => orders.isSpotUnavailable(domain, now),
    });
    state.views.forEach((_, domain) => this.registerGauges(name, domain));
    this.sendOrders(service, state, now);
  }

  private sendOrders({ name, scaling }: ScaledService, state: ServiceState, now: Millis): void {
    const { orders, plan, views } = state;
    if (plan === undefined) {
      return;
    }
    const { max, bootMs } = scaling;
    for (const order of planOrders(orders.toStates(views, plan, now), { now, max, bootMs })) {
      if (orders.canOrder(order.failureDomain, now) && this.rate.tryAcquire(now)) {
        void this.send(name, state, order);
      }
    }
  }

  private async send(service: string, state: ServiceState, order: PlannedOrder): Promise<void> {
    const { duty, platform, clock } = this.options;
    const permit = duty.permit(ORDER_TIMEOUT_MS);
    if (permit === undefined || permit.token !== this.token) {
      return;
    }
    const { failureDomain, kind, count } = order;
    const startedAtMs = clock.now();
    state.orders.onSending(order);
    const answer = await platform.orderTargets(
      { holder: duty.holder, token: permit.token },
      { service, failureDomain, count, isSpot: kind === 'spot' },
    )();
    const outcome = E.isLeft(answer) ? 'no-answer' : answer.right;
    this.logOrder(service, state, order, { outcome, token: permit.token, startedAtMs });
    this.recordOutcome(state, order, outcome, permit.token);
  }

  private recordOutcome(
    { orders }: ServiceState,
    order: PlannedOrder,
    outcome: DutyAnswer | 'no-answer',
    token: number,
  ): void {
    const { clock, duty } = this.options;
    const now = clock.now();
    switch (outcome) {
      case 'taken':
        orders.onOrdered(order, now, true);
        break;
      case 'no-answer':
        orders.onOrdered(order, now, false);
        break;
      case 'refused':
        if (order.kind === 'spot') {
          // An outdated token is detected by the duty's renewal.
          orders.onSpotRefused(order, now);
        } else {
          orders.backOff(order, now, false);
          duty.markTokenOutdated(token);
        }
        break;
      case 'too-many':
      case 'invalid':
        orders.backOff(order, now, outcome === 'invalid');
        break;
    }
  }

  private logOrder(
    service: string,
    { plan, views }: ServiceState,
    { failureDomain, kind, count, reason }: PlannedOrder,
    sent: { outcome: string; token: number; startedAtMs: Millis },
  ): void {
    const { clock, log, metrics } = this.options;
    const present = views.get(failureDomain)?.[kind];
    const { outcome, token, startedAtMs } = sent;
    metrics.count('limelead_capacity_orders_total', 1, { outcome });
    log.write('targets-ordered', {
      service,
      failureDomain,
      kind,
      count,
      ready: present?.ready,
      leaving: present?.leaving,
      reason,
      outcome,
      token,
      afterMs: Math.round(clock.now() - startedAtMs),
      isLoadKnown: plan?.isLoadKnown,
      forecastTokensPerSecond: Math.round(plan?.forecast ?? 0),
      needed: plan?.needed,
      cover: plan?.cover,
      pricePerSecond: plan && Math.round(plan.pricePerSecond * 100) / 100,
    });
  }

  private getState(name: string): ServiceState {
    const known = this.services.get(name);
    if (known !== undefined) {
      return known;
    }
    const state: ServiceState = {
      planner: new ServicePlanner(this.options.settings),
      orders: new ServiceOrderState(),
      views: new Map(),
    };
    this.services.set(name, state);
    return state;
  }

  /** Registers gauges that read the current state; 0 while this VM does not hold the duty. */
  private registerGauges(service: string, domain: string): void {
    const key = `${service} ${domain}`;
    if (this.gaugeKeys.has(key)) {
      return;
    }
    this.gaugeKeys.add(key);
    const { metrics, clock } = this.options;
    const state = (): ServiceState | undefined => this.services.get(service);
    const labels = (kind: TargetKind) => ({ service, failure_domain: domain, kind });
    for (const kind of ['plain', 'spot'] as const) {
      const wanted = (): number => state()?.plan?.counts.get(domain)?.[kind] ?? 0;
      const ordered = (): number => state()?.orders.lastOrderedCount(domain, kind) ?? 0;
      const ready = (): number => state()?.views.get(domain)?.[kind].ready ?? 0;
      metrics.gauge('limelead_capacity_wanted', wanted, labels(kind));
      metrics.gauge('limelead_capacity_ordered', ordered, labels(kind));
      metrics.gauge('limelead_capacity_ready', ready, labels(kind));
    }
    metrics.gauge(
      'limelead_capacity_dry',
      () => Number(state()?.orders.isSpotUnavailable(domain, clock.now()) ?? false),
      { service, failure_domain: domain },
    );
  }
}

function isScaled(service: ServedService): service is ScaledService {
  return service.scaling !== undefined && service.engine !== undefined;
}
