/** Simulates a fleet of VMs and rate-limited targets on a virtual clock. */
import type { PermitRefusal, AdvertisedLimit, WaitingRequestQueue } from '@limelead/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { PermitMessage } from './permit-messages.js';
import type { LimitFleet, PermitTargets } from './permit-ports.js';
import SendLimiter from './send-limiter.js';

const SERVICE = 'api';
const ANSWER_DELAY_MS = 20;
/** Range of a message's delay. */
const MIN_LINK_DELAY_MS = 1;
const MAX_LINK_DELAY_MS = 5;
/** Number of gossip peers of a VM in a large fleet. */
const GOSSIP_PEERS = 8;
/** Time after which a killed VM is no longer chosen as grantor, and after which it is forgotten. */
const FAILURE_DETECTION_MS = 2_500;
const FORGET_AFTER_MS = 12_000;
const WINDOW_MS = 4_000;
const PROPAGATION_MS = 500;

/** A rate limiter under test. */
export type Limiter = Pick<
  SendLimiter,
  | 'attach'
  | 'canSend'
  | 'recordSend'
  | 'onQueueChanged'
  | 'onResponse'
  | 'onPeerUpdate'
  | 'onMessage'
  | 'onPeerLost'
  | 'listLimits'
>;

/** Dependencies of one VM's limiter. */
export interface PermitDependencies {
  fleet: LimitFleet;
  targets: PermitTargets;
  clock: { now(): number };
  timers: { after(delayMs: number, run: () => void): () => void };
  random: { next(): number };
  log: { write(): void };
  metrics: { count(): void; gauge(): void };
  /** Number of VMs in the fleet. */
  size: number;
}

interface Waiter {
  id: number;
  rank: number;
  arrivedAtMs: number;
  untilMs: number;
}

/** Size of a fleet and the limiter that it uses. */
export interface FleetOptions {
  size: number;
  targets: number;
  seed: number;
  createLimiter?: (dependencies: PermitDependencies) => Limiter;
}

/** One VM with its waiting requests and limiter. */
class Vm {
  waiting: Waiter[] = [];
  limiter: Limiter;
  isUp = true;
  /** Until then the VM runs no timers and handles no messages. */
  frozenUntilMs = 0;
  killedAtMs = Infinity;
  startedAtMs = -Infinity;

  constructor(
    private readonly fleet: Fleet,
    readonly name: string,
    create: () => Limiter,
  ) {
    this.limiter = create();
    this.attachQueue();
  }

  attachQueue(): void {
    const waiting: WaitingRequestQueue = {
      list: () => [...this.waiting],
      serve: () => this.serve(),
      refuse: (want, refusal) => this.refuse(want, refusal),
      isAvoided: () => false,
    };
    this.limiter.attach(waiting);
  }

  enqueue(waiter: Waiter): void {
    this.waiting.push(waiter);
    this.serve();
    if (this.waiting.includes(waiter)) {
      this.limiter.onQueueChanged(SERVICE);
    }
  }

  serve(): void {
    for (const waiter of [...this.waiting].sort((a, b) => a.rank - b.rank)) {
      const target = this.fleet.targets.find((id) => this.limiter.canSend(id));
      if (target !== undefined && this.remove(waiter.id)) {
        this.limiter.recordSend(target, SERVICE);
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

/** The VMs, their links and the targets. */
export default class Fleet {
  now = 0;
  readonly targets: string[];
  readonly vms: Vm[];
  readonly sends: { target: string; vm: string; atMs: number; rank: number; waitedMs: number }[] =
    [];
  readonly refusals: { rank: number; heldMs: number; retryAfterMs: number; atMs: number }[] = [];
  expiredCount = 0;
  messageCount = 0;
  /** Limit that each target advertises, in requests a second; undefined for none. */
  perSecond: number | undefined;
  isLinkCut: (a: string, b: string) => boolean = () => false;
  /** Time from the start of the younger of two VMs until they know each other. */
  linkedAfterMs = 0;
  private firstLimitAtMs = Infinity;
  private lastId = 0;
  private readonly scheduled = new Map<number, (() => void)[]>();
  private readonly generator;

  constructor(private readonly options: FleetOptions) {
    this.generator = xoroshiro128plus(options.seed);
    this.targets = Array.from({ length: options.targets }, (_, index) => `t${index}`);
    this.vms = Array.from({ length: options.size }, (_, index) => this.createVm(`vm${index}`));
  }

  draw(): number {
    return uniformFloat64(this.generator);
  }

  schedule(atMs: number, run: () => void): void {
    const due = this.scheduled.get(Math.ceil(atMs)) ?? [];
    due.push(run);
    this.scheduled.set(Math.ceil(atMs), due);
  }

  runUntil(untilMs: number): void {
    for (; this.now <= untilMs; this.now += 1) {
      for (
        let run = this.scheduled.get(this.now)?.shift();
        run;
        run = this.scheduled.get(this.now)?.shift()
      ) {
        run();
      }
      this.scheduled.delete(this.now);
      this.dropExpired();
    }
  }

  /** Starts a Poisson load; `choose` returns the index of the VM for each request. */
  startLoad(
    perSecond: number,
    untilMs: number,
    choose: () => number,
    waitMs = 1_000,
    rank = 1,
  ): void {
    const next = (): void => {
      const vm = this.vms[choose()];
      if (vm?.isUp === true && this.now >= vm.frozenUntilMs) {
        this.lastId += 1;
        vm.enqueue({ id: this.lastId, rank, arrivedAtMs: this.now, untilMs: this.now + waitMs });
      }
      const pauseMs = (-Math.log(1 - this.draw()) * 1_000) / perSecond;
      if (this.now + pauseMs < untilMs) {
        this.schedule(this.now + Math.max(1, pauseMs), next);
      }
    };
    this.schedule(this.now + 1, next);
  }

  /** Index of a random VM. */
  pickAnyVm = (): number => Math.floor(this.draw() * this.vms.length);

  kill(index: number): void {
    const vm = this.vms[index]!;
    vm.isUp = false;
    vm.waiting = [];
    vm.killedAtMs = this.now;
    this.vms.forEach((other) => other.limiter.onPeerLost(vm.name));
  }

  restart(index: number): void {
    const vm = this.vms[index]!;
    vm.limiter = this.createLimiter(vm.name);
    vm.attachQueue();
    vm.isUp = true;
    vm.killedAtMs = Infinity;
    vm.startedAtMs = this.now;
    for (const other of this.vms.filter((one) => one.isUp && one !== vm)) {
      this.transmit(other.name, vm.name, () =>
        vm.limiter.onPeerUpdate(other.name, this.roundTimes(other.limiter.listLimits())),
      );
    }
  }

  freeze(index: number, forMs: number): void {
    this.vms[index]!.frozenUntilMs = this.now + forMs;
  }

  onSent(vm: Vm, target: string, { rank, arrivedAtMs }: Waiter): void {
    const atMs = this.now;
    this.sends.push({ target, vm: vm.name, atMs, rank, waitedMs: atMs - arrivedAtMs });
    const limit: AdvertisedLimit =
      this.perSecond === undefined ? { kind: 'none' } : { kind: 'rate', perSecond: this.perSecond };
    this.scheduleAt(vm.name, ANSWER_DELAY_MS, () => {
      this.firstLimitAtMs = Math.min(
        this.firstLimitAtMs,
        limit.kind === 'rate' ? this.now : Infinity,
      );
      vm.limiter.onResponse(target, limit, atMs);
      vm.serve();
    });
  }

  onRefused({ rank, arrivedAtMs }: Waiter, retryAfterMs: number): void {
    this.refusals.push({ rank, heldMs: this.now - arrivedAtMs, retryAfterMs, atMs: this.now });
  }

  /** Maximum sends to one target in any window after the limit has reached all VMs. */
  maxSendsInWindow(fromMs = this.firstLimitAtMs + PROPAGATION_MS): number {
    return Math.max(...this.targets.map((target) => this.maxSendsTo(target, fromMs)));
  }

  /** Sends in a time span as a share of the sends that the targets allow. */
  shareOfRateUsed(fromMs: number, toMs: number, perSecond: number): number {
    const sent = this.sends.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length;
    return sent / ((this.targets.length * perSecond * (toMs - fromMs)) / 1_000);
  }

  private maxSendsTo(target: string, fromMs: number): number {
    const times = this.sends.filter((send) => send.target === target).map(({ atMs }) => atMs);
    const counted = times.filter((atMs) => atMs >= fromMs);
    return Math.max(
      0,
      ...counted.map(
        (beginMs) => counted.filter((t) => t >= beginMs && t < beginMs + WINDOW_MS).length,
      ),
    );
  }

  private dropExpired(): void {
    for (const vm of this.vms) {
      const left = vm.waiting.filter(({ untilMs }) => untilMs > this.now);
      this.expiredCount += vm.waiting.length - left.length;
      vm.waiting = left;
    }
  }

  private createVm(name: string): Vm {
    return new Vm(this, name, () => this.createLimiter(name));
  }

  private createLimiter(name: string): Limiter {
    const { createLimiter = (dependencies) => new SendLimiter(dependencies) } = this.options;
    return createLimiter({
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
    this.scheduleAt(name, delayMs, () => {
      if (!isOver) {
        run();
      }
    });
    return () => {
      isOver = true;
    };
  }

  private createLinks(self: string): LimitFleet {
    const startedAtMs = (name: string): number =>
      this.vms.find((vm) => vm.name === name)?.startedAtMs ?? -Infinity;
    const isLinked = (vm: Vm): boolean =>
      vm.name === self ||
      this.now - Math.max(vm.startedAtMs, startedAtMs(self)) >= this.linkedAfterMs;
    const isReachable = (vm: Vm): boolean =>
      vm.isUp && isLinked(vm) && !this.isLinkCut(self, vm.name);
    const isKnown = (vm: Vm): boolean => isLinked(vm) && this.now - vm.killedAtMs < FORGET_AFTER_MS;
    const isTrusted = (vm: Vm): boolean =>
      isLinked(vm) && this.now - vm.killedAtMs < FAILURE_DETECTION_MS;
    return {
      self,
      countVms: () => this.vms.filter(isKnown).length,
      countReachableVms: () => this.vms.filter(isReachable).length,
      chooseGrantor: () => {
        const grantor = this.vms.find(isTrusted);
        return grantor !== undefined && isReachable(grantor) ? grantor.name : undefined;
      },
      send: (vm, message) => this.sendMessage(self, vm, message),
      publishLimits: (updates, from) =>
        this.listGossipPeers(self)
          .filter((peer) => peer !== from)
          .forEach((peer) => this.sendUpdates(self, peer, updates)),
      sendLimitCorrection: (vm, updates) => this.sendUpdates(self, vm, updates),
    };
  }

  private listGossipPeers(self: string): string[] {
    const index = this.vms.findIndex(({ name }) => name === self);
    const others = this.vms.map((_, step) => this.vms[(index + step) % this.vms.length]!.name);
    const step = Math.max(1, Math.floor(others.length / GOSSIP_PEERS));
    return others.slice(1).filter((_, position) => position % step === 0);
  }

  private sendUpdates(
    from: string,
    to: string,
    updates: Parameters<Limiter['onPeerUpdate']>[1],
  ): void {
    this.transmit(from, to, (vm) => vm.limiter.onPeerUpdate(from, this.roundTimes(updates)));
  }

  /** Rounds times as the codec of the messages does. */
  private roundTimes(updates: Parameters<Limiter['onPeerUpdate']>[1]) {
    return updates.map((update) => ({ ...update, askedAtMs: Math.round(update.askedAtMs) }));
  }

  private sendMessage(from: string, to: string, message: PermitMessage): void {
    this.transmit(from, to, (vm) => vm.limiter.onMessage(from, message));
  }

  private transmit(from: string, to: string, deliver: (vm: Vm) => void): void {
    this.messageCount += 1;
    const vm = this.vms.find(({ name }) => name === to);
    if (vm === undefined || this.isLinkCut(from, to)) {
      return;
    }
    this.scheduleAt(
      to,
      MIN_LINK_DELAY_MS + this.draw() * (MAX_LINK_DELAY_MS - MIN_LINK_DELAY_MS),
      () => deliver(vm),
    );
  }

  /** Runs an action of a VM after a delay, once it is not frozen, unless it was killed. */
  private scheduleAt(name: string, delayMs: number, run: () => void): void {
    this.schedule(this.now + Math.max(0, delayMs), () => {
      const vm = this.vms?.find((one) => one.name === name);
      if (vm !== undefined && vm.frozenUntilMs > this.now) {
        this.schedule(vm.frozenUntilMs, run);
      } else if (vm?.isUp === true) {
        run();
      }
    });
  }
}
