/** A whole fleet on a clock of its own, before targets that name limits, for the tests of this package. */
import type { PermitRefusal, AdvertisedLimit, WaitingRequests } from '@limelead/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { PermitMessage } from './permit-messages.js';
import type { LimitFleet, PermitTargets } from './permit-ports.js';
import SendPermits from './send-permits.js';

const SERVICE = 'api';
const ANSWER_MS = 20;
/** Time of a message, at least and at most. */
const LINK_MS = 1;
const SLOW_LINK_MS = 5;
/** Peers of gossip in a large fleet. */
const GOSSIP_PEERS = 8;
/** Time after which a VM that is gone decides nothing, and after which it is forgotten. */
const SPEAKS_WITHIN_MS = 2_500;
const FORGET_AFTER_MS = 12_000;
const WINDOW_MS = 4_000;
const HEARD_WITHIN_MS = 500;

/** What a VM of the fleet keeps to. */
export type Permits = Pick<
  SendPermits,
  | 'attach'
  | 'maySend'
  | 'recordSend'
  | 'onQueueChanged'
  | 'onResponse'
  | 'onPeerUpdate'
  | 'hear'
  | 'onPeerLost'
  | 'listLimits'
>;

/** What permits of one VM are made of. */
export interface PermitParts {
  fleet: LimitFleet;
  targets: PermitTargets;
  clock: { now(): number };
  timers: { after(delayMs: number, run: () => void): () => void };
  random: { next(): number };
  log: { write(): void };
  metrics: { count(): void; gauge(): void };
  /** Of the fleet. */
  size: number;
}

interface Waiter {
  id: number;
  rank: number;
  arrivedAtMs: number;
  untilMs: number;
}

/** How a fleet is laid out. */
export interface FleetOptions {
  size: number;
  targets: number;
  seed: number;
  createPermits?: (parts: PermitParts) => Permits;
}

/** One VM: requests that wait, and permits. */
class Vm {
  waiting: Waiter[] = [];
  permits: Permits;
  isUp = true;
  /** Until then nothing of it moves. */
  frozenUntilMs = 0;
  goneAtMs = Infinity;

  constructor(
    private readonly fleet: Fleet,
    readonly name: string,
    create: () => Permits,
  ) {
    this.permits = create();
    this.join();
  }

  join(): void {
    const waiting: WaitingRequests = {
      list: () => [...this.waiting],
      serve: () => this.serve(),
      refuse: (want, refusal) => this.refuse(want, refusal),
      isAvoided: () => false,
    };
    this.permits.attach(waiting);
  }

  take(waiter: Waiter): void {
    this.waiting.push(waiter);
    this.serve();
    if (this.waiting.includes(waiter)) {
      this.permits.onQueueChanged(SERVICE);
    }
  }

  serve(): void {
    for (const waiter of [...this.waiting].sort((a, b) => a.rank - b.rank)) {
      const target = this.fleet.targets.find((id) => this.permits.maySend(id));
      if (target !== undefined && this.remove(waiter.id)) {
        this.permits.recordSend(target, SERVICE);
        this.fleet.onSent(this, target, waiter);
      }
    }
  }

  remove(id: number): boolean {
    const before = this.waiting.length;
    this.waiting = this.waiting.filter((waiter) => waiter.id !== id);
    return this.waiting.length < before;
  }

  private refuse(id: number, { retryAfterMs }: PermitRefusal): void {
    const waiter = this.waiting.find((one) => one.id === id);
    if (waiter !== undefined && this.remove(id)) {
      this.fleet.onRefused(waiter, retryAfterMs);
    }
  }
}

/** VMs, links and targets. */
export default class Fleet {
  now = 0;
  readonly targets: string[];
  readonly vms: Vm[];
  readonly sends: { target: string; vm: string; atMs: number; rank: number; waitedMs: number }[] =
    [];
  readonly refusals: { rank: number; heldMs: number; retryAfterMs: number; atMs: number }[] = [];
  overdue = 0;
  messages = 0;
  /** Requests a second that each target names now; undefined for none. */
  perSecond: number | undefined;
  isCut: (a: string, b: string) => boolean = () => false;
  private namedAtMs = Infinity;
  private lastId = 0;
  private readonly due = new Map<number, (() => void)[]>();
  private readonly generator;

  constructor(private readonly options: FleetOptions) {
    this.generator = xoroshiro128plus(options.seed);
    this.targets = Array.from({ length: options.targets }, (_, index) => `t${index}`);
    this.vms = Array.from({ length: options.size }, (_, index) => this.createVm(`vm${index}`));
  }

  draw(): number {
    return uniformFloat64(this.generator);
  }

  at(atMs: number, run: () => void): void {
    const due = this.due.get(Math.ceil(atMs)) ?? [];
    due.push(run);
    this.due.set(Math.ceil(atMs), due);
  }

  playUntil(untilMs: number): void {
    for (; this.now <= untilMs; this.now += 1) {
      for (let run = this.due.get(this.now)?.shift(); run; run = this.due.get(this.now)?.shift()) {
        run();
      }
      this.due.delete(this.now);
      this.dropOverdue();
    }
  }

  /** Callers ask for so many requests a second at one of those VMs each, from now on. */
  load(perSecond: number, untilMs: number, choose: () => number, waitMs = 1_000, rank = 1): void {
    const next = (): void => {
      const vm = this.vms[choose()];
      if (vm?.isUp === true && this.now >= vm.frozenUntilMs) {
        this.lastId += 1;
        vm.take({ id: this.lastId, rank, arrivedAtMs: this.now, untilMs: this.now + waitMs });
      }
      const pauseMs = (-Math.log(1 - this.draw()) * 1_000) / perSecond;
      if (this.now + pauseMs < untilMs) {
        this.at(this.now + Math.max(1, pauseMs), next);
      }
    };
    this.at(this.now + 1, next);
  }

  /** Any VM, each as likely as the others. */
  any = (): number => Math.floor(this.draw() * this.vms.length);

  kill(index: number): void {
    const vm = this.vms[index]!;
    vm.isUp = false;
    vm.waiting = [];
    vm.goneAtMs = this.now;
    this.vms.forEach((other) => other.permits.onPeerLost(vm.name));
  }

  restart(index: number): void {
    const vm = this.vms[index]!;
    vm.permits = this.createPermits(vm.name);
    vm.join();
    vm.isUp = true;
    vm.goneAtMs = Infinity;
    for (const other of this.vms.filter((one) => one.isUp && one !== vm)) {
      this.transmit(other.name, vm.name, () =>
        vm.permits.onPeerUpdate(other.name, this.age(other.permits.listLimits())),
      );
    }
  }

  freeze(index: number, forMs: number): void {
    this.vms[index]!.frozenUntilMs = this.now + forMs;
  }

  onSent(vm: Vm, target: string, { rank, arrivedAtMs }: Waiter): void {
    const atMs = this.now;
    this.sends.push({ target, vm: vm.name, atMs, rank, waitedMs: atMs - arrivedAtMs });
    const told: AdvertisedLimit =
      this.perSecond === undefined ? { kind: 'none' } : { kind: 'rate', perSecond: this.perSecond };
    this.inTime(vm.name, ANSWER_MS, () => {
      this.namedAtMs = Math.min(this.namedAtMs, told.kind === 'rate' ? this.now : Infinity);
      vm.permits.onResponse(target, told, atMs);
      vm.serve();
    });
  }

  onRefused({ rank, arrivedAtMs }: Waiter, retryAfterMs: number): void {
    this.refusals.push({ rank, heldMs: this.now - arrivedAtMs, retryAfterMs, atMs: this.now });
  }

  /** Most sends to one target in any window behind the time to hear of the limit. */
  mostInWindow(fromMs = this.namedAtMs + HEARD_WITHIN_MS): number {
    return Math.max(...this.targets.map((target) => this.mostAt(target, fromMs)));
  }

  /** Part of what the targets allow in a span of time that was sent. */
  usedIn(fromMs: number, toMs: number, perSecond: number): number {
    const sent = this.sends.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length;
    return sent / ((this.targets.length * perSecond * (toMs - fromMs)) / 1_000);
  }

  private mostAt(target: string, fromMs: number): number {
    const times = this.sends.filter((send) => send.target === target).map(({ atMs }) => atMs);
    const counted = times.filter((atMs) => atMs >= fromMs);
    return Math.max(
      0,
      ...counted.map(
        (beginMs) => counted.filter((t) => t >= beginMs && t < beginMs + WINDOW_MS).length,
      ),
    );
  }

  private dropOverdue(): void {
    for (const vm of this.vms) {
      const left = vm.waiting.filter(({ untilMs }) => untilMs > this.now);
      this.overdue += vm.waiting.length - left.length;
      vm.waiting = left;
    }
  }

  private createVm(name: string): Vm {
    return new Vm(this, name, () => this.createPermits(name));
  }

  private createPermits(name: string): Permits {
    const { createPermits = (parts) => new SendPermits(parts) } = this.options;
    return createPermits({
      size: this.options.size,
      fleet: this.createLinks(name),
      targets: {
        serviceOf: () => SERVICE,
        listUsable: () => this.targets,
      },
      clock: { now: () => this.now },
      timers: { after: (delayMs, run) => this.startTimer(name, delayMs, run) },
      random: { next: () => this.draw() },
      log: { write: () => undefined },
      metrics: { count: () => undefined, gauge: () => undefined },
    });
  }

  private startTimer(name: string, delayMs: number, run: () => void): () => void {
    let isOver = false;
    this.inTime(name, delayMs, () => {
      if (!isOver) {
        run();
      }
    });
    return () => {
      isOver = true;
    };
  }

  private createLinks(self: string): LimitFleet {
    const reaches = (vm: Vm): boolean => vm.isUp && !this.isCut(self, vm.name);
    const isKnown = (vm: Vm): boolean => this.now - vm.goneAtMs < FORGET_AFTER_MS;
    const speaks = (vm: Vm): boolean => this.now - vm.goneAtMs < SPEAKS_WITHIN_MS;
    return {
      self,
      countVms: () => this.vms.filter(isKnown).length,
      countReached: () => this.vms.filter(reaches).length,
      chooseGrantor: () => {
        const grantor = this.vms.find(speaks);
        return grantor !== undefined && reaches(grantor) ? grantor.name : undefined;
      },
      send: (vm, message) => this.carry(self, vm, message),
      publishLimits: (facts, from) =>
        this.listGossip(self)
          .filter((peer) => peer !== from)
          .forEach((peer) => this.tell(self, peer, facts)),
      sendLimitCorrection: (vm, facts) => this.tell(self, vm, facts),
    };
  }

  private listGossip(self: string): string[] {
    const index = this.vms.findIndex(({ name }) => name === self);
    const others = this.vms.map((_, step) => this.vms[(index + step) % this.vms.length]!.name);
    const step = Math.max(1, Math.floor(others.length / GOSSIP_PEERS));
    return others.slice(1).filter((_, place) => place % step === 0);
  }

  private tell(from: string, to: string, facts: Parameters<Permits['onPeerUpdate']>[1]): void {
    this.transmit(from, to, (vm) => vm.permits.onPeerUpdate(from, this.age(facts)));
  }

  /** Spans are rounded on their way. */
  private age(facts: Parameters<Permits['onPeerUpdate']>[1]) {
    return facts.map((fact) => ({ ...fact, askedAtMs: Math.round(fact.askedAtMs) }));
  }

  private carry(from: string, to: string, message: PermitMessage): void {
    this.transmit(from, to, (vm) => vm.permits.hear(from, message));
  }

  private transmit(from: string, to: string, deliver: (vm: Vm) => void): void {
    this.messages += 1;
    const vm = this.vms.find(({ name }) => name === to);
    if (vm === undefined || this.isCut(from, to)) {
      return;
    }
    this.inTime(to, LINK_MS + this.draw() * (SLOW_LINK_MS - LINK_MS), () => deliver(vm));
  }

  /** Runs at a VM that is up, when it is not frozen. */
  private inTime(name: string, delayMs: number, run: () => void): void {
    this.at(this.now + Math.max(0, delayMs), () => {
      const vm = this.vms?.find((one) => one.name === name);
      if (vm !== undefined && vm.frozenUntilMs > this.now) {
        this.at(vm.frozenUntilMs, run);
      } else if (vm?.isUp === true) {
        run();
      }
    });
  }
}
