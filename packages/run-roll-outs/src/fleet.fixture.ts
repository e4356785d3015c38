/**
 * A fleet on a clock of its own: the decision code of every VM, targets of two versions,
 * a store and messages that fail as the seed says. It plays one order to its deadline.
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
/** Bad answers after which a version has to be left within a bound. */
const MANY_BAD = 50;
const ROUTES = [
  { route: 'often', weight: 0.5, medianMs: 80, failures: 0.01 },
  { route: 'failing', weight: 0.35, medianMs: 200, failures: 0.1 },
  { route: 'seldom', weight: 0.15, medianMs: 600, failures: 0.03 },
] as const;
type Route = (typeof ROUTES)[number];

export const BOUNDS = { exposureShare: 0.1, exposureSlack: 50, rollBackMs: 5_000 };
export const BAD_KINDS = ['at-once', 'later', 'under-load', 'one-route', 'slow'] as const;
export type VersionKind = 'good' | (typeof BAD_KINDS)[number];

/** What one run is made of. */
export interface SimulationPlan {
  seed: number;
  vms: number;
  kind: VersionKind;
  durationMs: Millis;
  hasFaults: boolean;
  createTest?: () => RouteTest;
}

/** What one run showed. */
export interface SimulationResult {
  /** States in the order in which the store took them. */
  states: RollOutState[];
  /** Sends to the version, and to the service, of VMs in touch up to the deadline. */
  exposed: number;
  requests: number;
  /** Time from the first bad answer, and from the 50th, to the last send; 0 where there was none. */
  leftAfterFirstMs: Millis;
  leftAfterManyMs: Millis;
  /** Requests under way at replaced targets as the move was completed. */
  cutByCompletion: number;
  /** Whether every VM alive and in touch agreed in the end. */
  isAgreed: boolean;
}

/** Numbers in [0, 1) from a seed. */
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
  /** A VM takes no requests before it knows its targets. */
  isReady: boolean;
  cutUntilMs: Millis;
  inFlight: Map<string, number>;
}

interface Event {
  atMs: Millis;
  run: () => void;
}

class Fleet {
  private now: Millis = 0;
  private readonly random: Random;
  private readonly vms: Vm[] = [];
  private events: Event[] = [];
  private readonly items = new Map<string, StoreEntry>();
  private revision = 10;
  private darkFromMs = Infinity;
  private darkUntilMs = Infinity;
  private incarnations = 0;
  private sentToNew: Millis[] = [];
  private badAtMs: Millis[] = [];
  /** When the version's badness first showed; plain failures left out. */
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
  private readonly standing: StoredOrder;
  private readonly targets: ServiceTarget[];

  constructor(private readonly plan: SimulationPlan) {
    this.random = createRandom(plan.seed);
    const order = { service: SERVICE, version: 'v2', durationMs: plan.durationMs };
    this.standing = { order, revision: 5 };
    this.targets = ['v1', 'v2'].flatMap((version) =>
      Array.from({ length: TARGETS_PER_VERSION }, (_, index) => createTarget(version, index)),
    );
    for (let index = 0; index < plan.vms; index += 1) {
      this.vms.push(this.createVm(index));
    }
    if (plan.hasFaults) {
      this.planFaults();
    }
  }

  async play(): Promise<SimulationResult> {
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
          this.tellKnowledge(vm);
          vm.rollOuts.runRound();
        }
      });
      // Writes are promises; they end within the tick.
      await new Promise((resolve) => setImmediate(resolve));
      this.now += TICK_MS;
    }
    return this.conclude();
  }

  private get isDark(): boolean {
    return this.now >= this.darkFromMs && this.now < this.darkUntilMs;
  }

  private createVm(index: number): Vm {
    this.incarnations += 1;
    const incarnation = `${index}/${this.incarnations}`;
    const clock = { now: () => this.now };
    const log = { write: () => undefined, dropped: 0, flush: async () => undefined };
    const isCut = (): boolean => this.now < vm.cutUntilMs;
    const gatherers = Math.min(this.plan.vms, 2);
    const deliver = (to: Vm, run: (receiver: RollOutController) => void): void => {
      const isLost = isCut() || this.now < to.cutUntilMs || this.random.next() < 0.02;
      if (!isLost) {
        this.at(TICK_MS, () => run(to.rollOuts));
      }
    };
    const vm: Vm = {
      incarnation,
      isReady: false,
      cutUntilMs: 0,
      inFlight: new Map(),
      rollOuts: new RollOutController({
        clock,
        random: this.random,
        log,
        metrics: { count: () => undefined },
        bounds: BOUNDS,
        incarnation,
        writer: new StepWriter({
          store: this.createStore(isCut),
          log,
          duty: { permit: () => (index < gatherers ? { token: 1, heldSinceMs: 0 } : undefined) },
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
        isUpToDate: () => !isCut() && !this.isDark,
        isAggregator: () => index < gatherers,
        sendToAggregators: (evidence) =>
          this.vms
            .slice(0, gatherers)
            .filter((peer) => peer !== vm)
            .forEach((peer) => deliver(peer, (to) => to.onEvidence(incarnation, evidence))),
        broadcast: (gathered) =>
          this.vms
            .filter((peer) => peer !== vm)
            .forEach((peer) => deliver(peer, (to) => to.onAggregatedEvidence(gathered))),
        createTest: this.plan.createTest,
      }),
    };
    return vm;
  }

  /** A gatherer and another VM are killed, the store goes dark, a VM is cut off. */
  private planFaults(): void {
    const { durationMs, vms } = this.plan;
    const anyTime = (): Millis => this.random.next() * durationMs;
    for (const index of [0, Math.floor(this.random.next() * vms)]) {
      this.at(anyTime(), () => {
        const restarted = this.createVm(index);
        this.vms[index] = restarted;
        this.tellKnowledge(restarted);
      });
    }
    this.darkFromMs = anyTime() * 0.8;
    this.darkUntilMs = this.darkFromMs + 2_000;
    this.at(anyTime(), () => {
      const cut = this.vms[Math.floor(this.random.next() * vms)];
      if (cut !== undefined) {
        cut.cutUntilMs = this.now + 4_000;
      }
    });
  }

  private createStore(isCut: () => boolean): ConditionalStore {
    const call =
      <Value>(run: () => Value): PortCall<Value> =>
      async () => {
        if (this.isDark || isCut()) {
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
              this.noteState(write.key, write.value.toString());
            }
          }
          return { kind: 'written' as const, revision: this.revision };
        }),
      grantLease: (ttlMs) => call(() => ({ lease: 1, ttlMs })),
      renewLease: () => call(() => true),
      endLease: () => call(() => undefined),
    };
  }

  private noteState(key: string, value: string): void {
    if (!key.startsWith('status/')) {
      return;
    }
    this.result.states.push(value as RollOutState);
    if (value === 'completed') {
      this.result.cutByCompletion = this.vms
        .filter(({ cutUntilMs }) => cutUntilMs <= this.now)
        .flatMap(({ inFlight }) => [...inFlight])
        .filter(([id]) => id.startsWith('v1'))
        .reduce((sum, [, requests]) => sum + requests, 0);
    }
  }

  private tellKnowledge(vm: Vm): void {
    const { rollOuts, cutUntilMs } = vm;
    if (this.isDark || this.now < cutUntilMs) {
      return;
    }
    vm.isReady = true;
    const item = this.items.get(stepKey(SERVICE));
    const agreed = item && decodeStep(item.value);
    rollOuts.onSnapshot({
      orders: [this.standing],
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
      vm.rollOuts.selectTargets(SERVICE, known, false).find(({ length }) => length > 0) ?? [];
    const chosen = group[Math.floor(this.random.next() * group.length)];
    if (chosen === undefined) {
      return;
    }
    const { target } = chosen;
    vm.rollOuts.recordAttempt(target);
    vm.inFlight.set(target.id, (vm.inFlight.get(target.id) ?? 0) + 1);
    const isTrial = target.version === 'v2';
    const isInTouch = this.now >= vm.cutUntilMs && !this.isDark;
    this.result.requests += 1;
    if (isTrial) {
      this.sentToNew.push(this.now);
      this.result.exposed += isInTouch ? 1 : 0;
    }
    const { isBad, factor } = isTrial ? this.drawBadness(route) : { isBad: false, factor: 1 };
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

  private drawBadness({ route }: Route): { isBad: boolean; factor: number } {
    const { kind, durationMs } = this.plan;
    const draws = (part: number): boolean => this.random.next() < part;
    const since = this.sentToNew.findLastIndex((atMs) => atMs < this.now - 1_000);
    const lately = this.sentToNew.length - 1 - since;
    const fails =
      (kind === 'at-once' && draws(0.35)) ||
      (kind === 'later' && this.now > durationMs * 0.4 && draws(0.35)) ||
      (kind === 'under-load' && lately > REQUESTS_PER_SECOND * 0.25 && draws(0.5)) ||
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

  private conclude(): SimulationResult {
    const last = this.sentToNew.at(-1) ?? 0;
    const after = (atMs = Infinity): Millis => Math.max(0, last - atMs);
    this.result.leftAfterFirstMs = after(this.firstBadAtMs);
    this.result.leftAfterManyMs = after(this.badAtMs[MANY_BAD - 1]);
    this.result.isAgreed =
      new Set(this.result.states.filter((state) => state !== 'running')).size <= 1;
    return this.result;
  }
}

/** Plays one order. */
export function simulateRollOut(plan: SimulationPlan): Promise<SimulationResult> {
  return new Fleet(plan).play();
}

/** The rules that a run broke. */
export function findViolations({ kind }: SimulationPlan, result: SimulationResult): string[] {
  const { exposed, requests, states, leftAfterManyMs, cutByCompletion, isAgreed } = result;
  const isBad = kind !== 'good';
  const wanted = isBad ? 'rolled_back' : 'completed';
  const breaches = {
    exposure: isBad && exposed > BOUNDS.exposureShare * requests + BOUNDS.exposureSlack,
    'left late': isBad && leftAfterManyMs > BOUNDS.rollBackMs,
    duty: states.at(-1) !== wanted,
    'two final states': !isAgreed,
    'cut by completion': cutByCompletion > 0,
  };
  return Object.entries(breaches).flatMap(([name, isBroken]) => (isBroken ? [name] : []));
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
