/**
 * Simulates a fleet on a manual clock: the decision code of every VM, targets of two versions, a
 * store and messages that fail by a seeded random. It runs one order to its deadline.
 */
import { PortFault } from '@limelead/errors';
import type { RouteTest } from '@limelead/judge-version';
import type { ConditionalStore, PortCall, StoreEntry } from '@limelead/ports';
import type { Millis, Random, ServiceTarget } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import RollOutController from './roll-out-controller.js';
import { decodeStep, stepKey } from './step-item.js';
import StepWriter from './step-writer.js';
import type { RollOutState, StoredOrder } from './types.js';

const TICK_MS = 100;
const ROUND_TICKS = 5;
const REQUESTS_PER_SECOND = 80;
const TARGETS_PER_VERSION = 6;
const SERVICE = 'answers';
/** Number of bad answers after which a version must receive no requests within `rollBackMs`. */
const MANY_BAD_ANSWERS = 50;
const ROUTES = [
  { route: 'often', weight: 0.5, medianMs: 80, failures: 0.01 },
  { route: 'failing', weight: 0.35, medianMs: 200, failures: 0.1 },
  { route: 'seldom', weight: 0.15, medianMs: 600, failures: 0.03 },
] as const;
type Route = (typeof ROUTES)[number];

export const BOUNDS = { exposureShare: 0.1, exposureSlack: 50, rollBackMs: 5_000 };
export const BAD_KINDS = ['at-once', 'later', 'under-load', 'one-route', 'slow'] as const;
export type VersionKind = 'good' | (typeof BAD_KINDS)[number];

/** Parameters of one simulation. */
export interface SimulationPlan {
  seed: number;
  vms: number;
  kind: VersionKind;
  durationMs: Millis;
  hasFaults: boolean;
  createTest?: () => RouteTest;
}

/** Result of one simulation. */
export interface SimulationResult {
  /** States in the order in which they were stored. */
  states: RollOutState[];
  /**
   * Attempts at the version by VMs that are up to date, and all requests to the service, up to the
   * deadline.
   */
  exposed: number;
  requests: number;
  /**
   * Time from the first and from the 50th bad answer to the last attempt at the version; 0 if there
   * was none.
   */
  leftAfterFirstMs: Millis;
  leftAfterManyMs: Millis;
  /** Requests in flight at replaced targets when the move was completed. */
  cutByCompletion: number;
  /** Whether all stored final states agree. */
  isAgreed: boolean;
}

/** Creates a seeded random number generator for [0, 1). */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return {
    next() {
      state = (state + 0x6d2b79f5) >>> 0;
      let mixed = Math.imul(state ^ (state >>> 15), state | 1);
      mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
      return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x1_0000_0000;
    },
  };
}

interface Vm {
  rollOuts: RollOutController;
  incarnation: string;
  /** A VM accepts no requests before it knows its targets. */
  isReady: boolean;
  isolatedUntilMs: Millis;
  inFlight: Map<string, number>;
}

interface Event {
  atMs: Millis;
  run: () => void;
}

class FleetSimulation {
  private now: Millis = 0;
  private readonly random: Random;
  private readonly vms: Vm[] = [];
  private events: Event[] = [];
  private readonly items = new Map<string, StoreEntry>();
  private revision = 10;
  private storeDownFromMs = Infinity;
  private storeDownUntilMs = Infinity;
  private incarnations = 0;
  private newVersionAttemptsAtMs: Millis[] = [];
  private badAtMs: Millis[] = [];
  /** When the version's fault first showed; ordinary failures are not counted. */
  private firstBadAtMs: Millis | undefined;
  private readonly result: SimulationResult = {
    states: [],
    exposed: 0,
    requests: 0,
    leftAfterFirstMs: 0,
    leftAfterManyMs: 0,
    cutByCompletion: 0,
    isAgreed: true,
  };
  private readonly storedOrder: StoredOrder;
  private readonly targets: ServiceTarget[];

  constructor(private readonly plan: SimulationPlan) {
    this.random = createRandom(plan.seed);
    const order = { service: SERVICE, version: 'v2', durationMs: plan.durationMs };
    this.storedOrder = { order, revision: 5 };
    this.targets = ['v1', 'v2'].flatMap((version) =>
      Array.from({ length: TARGETS_PER_VERSION }, (_, index) => createTarget(version, index)),
    );
    for (let index = 0; index < plan.vms; index += 1) {
      this.vms.push(this.createVm(index));
    }
    if (plan.hasFaults) {
      this.scheduleFaults();
    }
  }

  async run(): Promise<SimulationResult> {
    const before = this.targets.filter(({ version }) => version === 'v1');
    for (const vm of this.vms) {
      vm.isReady = true;
      vm.rollOuts.onSnapshot({ orders: [], steps: new Map(), targets: before });
    }
    for (let tick = 0; this.now <= this.plan.durationMs; tick += 1) {
      this.runEvents();
      this.sendRequests();
      this.vms.forEach((vm, index) => {
        if ((tick + index) % ROUND_TICKS === 0) {
          this.sendSnapshot(vm);
          vm.rollOuts.runRound();
        }
      });
      // Writes are promises that resolve within the tick.
      await new Promise((resolve) => setImmediate(resolve));
      this.now += TICK_MS;
    }
    return this.finish();
  }

  private get isStoreDown(): boolean {
    return this.now >= this.storeDownFromMs && this.now < this.storeDownUntilMs;
  }

  private createVm(index: number): Vm {
    this.incarnations += 1;
    const incarnation = `${index}/${this.incarnations}`;
    const clock = { now: () => this.now };
    const log = { write: () => undefined, dropped: 0, flush: async () => undefined };
    const isIsolated = (): boolean => this.now < vm.isolatedUntilMs;
    const aggregatorCount = Math.min(this.plan.vms, 2);
    const deliver = (to: Vm, run: (receiver: RollOutController) => void): void => {
      const isLost = isIsolated() || this.now < to.isolatedUntilMs || this.random.next() < 0.02;
      if (!isLost) {
        this.at(TICK_MS, () => run(to.rollOuts));
      }
    };
    const vm: Vm = {
      incarnation,
      isReady: false,
      isolatedUntilMs: 0,
      inFlight: new Map(),
      rollOuts: new RollOutController({
        clock,
        random: this.random,
        log,
        metrics: { count: () => undefined },
        bounds: BOUNDS,
        incarnation,
        writer: new StepWriter({
          store: this.createStore(isIsolated),
          log,
          duty: {
            permit: () => (index < aggregatorCount ? { token: 1, heldSinceMs: 0 } : undefined),
          },
          composeState: (service, state) => ({
            key: `status/${service}`,
            value: Buffer.from(state),
          }),
        }),
        isService: (name) => name === SERVICE,
        listTargets: () =>
          this.targets.map((target) => ({ target, inFlight: vm.inFlight.get(target.id) ?? 0 })),
        isSuspected: () => false,
        countVms: () => this.plan.vms,
        countReportingVms: () => this.plan.vms,
        isUpToDate: () => !isIsolated() && !this.isStoreDown,
        isAggregator: () => index < aggregatorCount,
        sendToAggregators: (evidence) =>
          this.vms
            .slice(0, aggregatorCount)
            .filter((peer) => peer !== vm)
            .forEach((peer) => deliver(peer, (to) => to.onEvidence(incarnation, evidence))),
        broadcast: (aggregated) =>
          this.vms
            .filter((peer) => peer !== vm)
            .forEach((peer) => deliver(peer, (to) => to.onAggregatedEvidence(aggregated))),
        createTest: this.plan.createTest,
      }),
    };
    return vm;
  }

  /**
   * Kills an aggregator and another VM, makes the store unreachable for a while and isolates a VM.
   */
  private scheduleFaults(): void {
    const { durationMs, vms } = this.plan;
    const anyTime = (): Millis => this.random.next() * durationMs;
    for (const index of [0, Math.floor(this.random.next() * vms)]) {
      this.at(anyTime(), () => {
        const restarted = this.createVm(index);
        this.vms[index] = restarted;
        this.sendSnapshot(restarted);
      });
    }
    this.storeDownFromMs = anyTime() * 0.8;
    this.storeDownUntilMs = this.storeDownFromMs + 2_000;
    this.at(anyTime(), () => {
      const cut = this.vms[Math.floor(this.random.next() * vms)];
      if (cut !== undefined) {
        cut.isolatedUntilMs = this.now + 4_000;
      }
    });
  }

  private createStore(isIsolated: () => boolean): ConditionalStore {
    const call =
      <Value>(run: () => Value): PortCall<Value> =>
      async () => {
        if (this.isStoreDown || isIsolated()) {
          return E.left(new PortFault('unreachable', 'no', 'dark'));
        }
        const value = run();
        const isLost = this.plan.hasFaults && this.random.next() < 0.2;
        return isLost ? E.left(new PortFault('unreachable', 'maybe', 'lost')) : E.right(value);
      };
    return {
      read: (key) => call(() => this.items.get(key)),
      write: (conditions, writes) =>
        call(() => {
          const holds = conditions.every(
            ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
          );
          if (!holds) {
            return { kind: 'mismatch' as const };
          }
          this.revision += 1;
          for (const write of writes) {
            if (write.kind === 'put') {
              this.items.set(write.key, { ...write, revision: this.revision });
              this.recordState(write.key, write.value.toString());
            }
          }
          return { kind: 'written' as const, revision: this.revision };
        }),
      grantLease: (ttlMs) => call(() => ({ lease: 1, ttlMs })),
      renewLease: () => call(() => true),
      endLease: () => call(() => undefined),
    };
  }

  private recordState(key: string, value: string): void {
    if (!key.startsWith('status/')) {
      return;
    }
    this.result.states.push(value as RollOutState);
    if (value === 'completed') {
      this.result.cutByCompletion = this.vms
        .filter(({ isolatedUntilMs }) => isolatedUntilMs <= this.now)
        .flatMap(({ inFlight }) => [...inFlight])
        .filter(([id]) => id.startsWith('v1'))
        .reduce((sum, [, requests]) => sum + requests, 0);
    }
  }

  private sendSnapshot(vm: Vm): void {
    const { rollOuts, isolatedUntilMs } = vm;
    if (this.isStoreDown || this.now < isolatedUntilMs) {
      return;
    }
    vm.isReady = true;
    const item = this.items.get(stepKey(SERVICE));
    const agreed = item && decodeStep(item.value);
    rollOuts.onSnapshot({
      orders: [this.storedOrder],
      steps: new Map(agreed ? [[SERVICE, agreed]] : []),
      targets: this.targets,
    });
  }

  private sendRequests(): void {
    const expected = (REQUESTS_PER_SECOND * TICK_MS) / 1_000;
    const requests = Math.floor(expected * 2 * this.random.next() + 0.5);
    for (let count = 0; count < requests; count += 1) {
      const vm = this.vms[Math.floor(this.random.next() * this.vms.length)];
      if (vm?.isReady === true) {
        this.send(vm, this.drawRoute());
      }
    }
  }

  private send(vm: Vm, route: Route): void {
    const known = this.targets.map((target) => ({ target }));
    const group =
      vm.rollOuts.groupByPreference(SERVICE, known, false).find(({ length }) => length > 0) ?? [];
    const chosen = group[Math.floor(this.random.next() * group.length)];
    if (chosen === undefined) {
      return;
    }
    const { target } = chosen;
    vm.rollOuts.recordSend(target);
    vm.inFlight.set(target.id, (vm.inFlight.get(target.id) ?? 0) + 1);
    const isTrial = target.version === 'v2';
    const isUpToDate = this.now >= vm.isolatedUntilMs && !this.isStoreDown;
    this.result.requests += 1;
    if (isTrial) {
      this.newVersionAttemptsAtMs.push(this.now);
      this.result.exposed += isUpToDate ? 1 : 0;
    }
    const { isBad, factor } = isTrial ? this.drawFault(route) : { isBad: false, factor: 1 };
    const isGood = !isBad && this.random.next() >= route.failures;
    const spread = 1 + this.random.next() * this.random.next() * 1.5;
    const afterMs = isBad ? 5 : route.medianMs * spread * factor;
    const { rollOuts } = vm;
    this.at(afterMs, () => {
      vm.inFlight.set(target.id, (vm.inFlight.get(target.id) ?? 0) - 1);
      rollOuts.recordOutcome({ route: route.route, target, isGood, afterMs });
      if (isBad || factor > 1) {
        this.firstBadAtMs ??= this.now;
      }
      if (isTrial && (!isGood || factor > 1)) {
        this.badAtMs.push(this.now);
      }
    });
  }

  private drawFault({ route }: Route): { isBad: boolean; factor: number } {
    const { kind, durationMs } = this.plan;
    const draws = (part: number): boolean => this.random.next() < part;
    const since = this.newVersionAttemptsAtMs.findLastIndex((atMs) => atMs < this.now - 1_000);
    const recentAttempts = this.newVersionAttemptsAtMs.length - 1 - since;
    const fails =
      (kind === 'at-once' && draws(0.35)) ||
      (kind === 'later' && this.now > durationMs * 0.4 && draws(0.35)) ||
      (kind === 'under-load' && recentAttempts > REQUESTS_PER_SECOND * 0.25 && draws(0.5)) ||
      (kind === 'one-route' && route === 'seldom' && draws(0.5));
    return { isBad: fails, factor: kind === 'slow' && draws(0.4) ? 4 : 1 };
  }

  private drawRoute(): Route {
    let draw = this.random.next();
    for (const route of ROUTES) {
      draw -= route.weight;
      if (draw < 0) {
        return route;
      }
    }
    return ROUTES[0];
  }

  private at(afterMs: Millis, run: () => void): void {
    this.events.push({ atMs: this.now + afterMs, run });
  }

  private runEvents(): void {
    const due = this.events.filter(({ atMs }) => atMs <= this.now);
    this.events = this.events.filter(({ atMs }) => atMs > this.now);
    due.forEach(({ run }) => run());
  }

  private finish(): SimulationResult {
    const last = this.newVersionAttemptsAtMs.at(-1) ?? 0;
    const after = (atMs = Infinity): Millis => Math.max(0, last - atMs);
    this.result.leftAfterFirstMs = after(this.firstBadAtMs);
    this.result.leftAfterManyMs = after(this.badAtMs[MANY_BAD_ANSWERS - 1]);
    this.result.isAgreed =
      new Set(this.result.states.filter((state) => state !== 'running')).size <= 1;
    return this.result;
  }
}

/** Simulates one order. */
export function simulateRollOut(plan: SimulationPlan): Promise<SimulationResult> {
  return new FleetSimulation(plan).run();
}

/** Returns the rules that a simulation violated. */
export function findViolations({ kind }: SimulationPlan, result: SimulationResult): string[] {
  const { exposed, requests, states, leftAfterManyMs, cutByCompletion, isAgreed } = result;
  const isBad = kind !== 'good';
  const expected = isBad ? 'rolled_back' : 'completed';
  const violations = {
    exposure: isBad && exposed > BOUNDS.exposureShare * requests + BOUNDS.exposureSlack,
    'left late': isBad && leftAfterManyMs > BOUNDS.rollBackMs,
    duty: states.at(-1) !== expected,
    'two final states': !isAgreed,
    'cut by completion': cutByCompletion > 0,
  };
  return Object.entries(violations).flatMap(([name, isViolated]) => (isViolated ? [name] : []));
}

function createTarget(version: string, index: number): ServiceTarget {
  return {
    id: `${version}-${index}`,
    service: SERVICE,
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    slots: 8,
    leaving: false,
    version,
  };
}
