/**
 * The permits of one service as one VM sees them: it asks the VM that grants them for all, is asked
 * where that is this one, and keeps to its own part of the rates where nobody answers.
 */
import type { LimitedLines } from '@limelead/decision-log';
import {
  RecentTimes,
  type CancelTimer,
  type Clock,
  type Millis,
  type Random,
  type Timers,
  type Want,
} from '@limelead/types';
import PermitGrantor, { type PermitDecision } from './permit-grantor.js';
import type { AskPermits, GivePermits, PermitMessage } from './permit-messages.js';

/** A VM that waits asks anew this often, so that what got lost is noticed. */
const REFRESH_MS: Millis = 200;
/** Least time between two asks, for each VM that there is: one VM answers those of all. */
const ASK_PAUSE_PER_VM_MS: Millis = 0.5;
/** Time for an answer: several round trips between failure domains. */
const ANSWER_MS: Millis = 150;
/** Grants that answer an older ask stood still somewhere; their time has passed. */
const ASK_VALID_MS: Millis = 500;
/** A target whose permit nobody here could use is not asked for again so soon. */
const UNUSED_PAUSE_MS: Millis = 200;
/** Requests that one ask names at most; those behind them wait until these are served. */
const MOST_WANTS = 50;
/** A permit for the next request that comes, behind all that wait. */
const SPARE_WANT = 0;
const SPARE_RANK = 1_000_000;
/** Time between two asks for a spare permit: it shows whether the need of the target is over. */
const SPARE_PAUSE_MS: Millis = 1_000;
/** A spare permit lapses, so that its send is not moved into another span of time. */
const SPARE_LIFE_MS: Millis = 250;

/** The VMs of the fleet. */
export interface PermitFleet {
  self: string;
  /** VMs that are believed to run, this one included. */
  countVms(): number;
  /** Those of them that can ask this one, itself included. */
  countReached(): number;
  /** The VM that grants the permits of a service for all; undefined where it can't be reached. */
  chooseGrantor(service: string): string | undefined;
  send(vm: string, message: PermitMessage): void;
}

/** What one service's permits need. */
export interface ServicePermitsOptions {
  service: string;
  fleet: PermitFleet;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Targets of the service that name limits, with the requests a second of all VMs together. */
  readRates(): ReadonlyMap<string, number>;
  /** Requests that wait at this VM, in the order in which they are served. */
  listWants(): readonly Want[];
  /** Targets that this VM can't send to now, of those that name limits. */
  listAvoided(): ReadonlySet<string>;
  /** Whether all targets that take work name limits. */
  isAllLimited(): boolean;
  /** Gives a permit; false where no request had a use for it. */
  onGranted(target: string, untilMs: Millis): boolean;
  /** A spare permit came. */
  onSpare(target: string, untilMs: Millis): void;
  onRefused(want: number, retryAfterMs: Millis): void;
  count(outcome: 'granted' | 'returned' | 'stale' | 'refused'): void;
  noteAlone: LimitedLines;
}

/** Asks, grants and keeps to the own part. */
export default class ServicePermits {
  /** Serves all VMs while this one grants. */
  private readonly forAll: PermitGrantor;
  /** Serves this VM alone, with its part of the rates, while no grantor answers. */
  private readonly alone: PermitGrantor;
  private isGrantor = false;
  private isAlone = false;
  /** Numbers of the last asks, with their times. */
  private asked: { number: number; atMs: Millis }[] = [];
  /** Number of the last ask of each VM. */
  private readonly heard = new Map<string, number>();
  /** Grants received from each grantor. */
  private readonly received = new Map<string, number>();
  private readonly unused = new RecentTimes(UNUSED_PAUSE_MS);
  private lastNumber = 0;
  private lastAskAtMs: Millis = -Infinity;
  private unansweredSinceMs: Millis | undefined;
  private wantedSpareAtMs: Millis = -Infinity;
  private hasAsked = false;
  private askDueAtMs: Millis = Infinity;
  private cancelAsk: CancelTimer | undefined;
  private cancelDecide: CancelTimer | undefined;
  private cancelDecideAlone: CancelTimer | undefined;

  constructor(private readonly options: ServicePermitsOptions) {
    const { random } = options;
    this.forAll = new PermitGrantor({ random, drawFirst: () => 1 });
    this.alone = new PermitGrantor({ random, drawFirst: () => random.next() });
  }

  /** Requests that wait at this VM for all others. */
  get waiting(): number {
    return this.forAll.waiting;
  }

  /** Requests of this VM wait, or no longer. */
  noteWaiting(): void {
    const pauseMs = this.options.fleet.countVms() * ASK_PAUSE_PER_VM_MS;
    this.askAt(Math.max(this.now, this.lastAskAtMs + pauseMs));
  }

  /** A request went to a target without a limit, while others of the service name some. */
  noteSentElsewhere(): void {
    if (this.now - this.wantedSpareAtMs >= SPARE_PAUSE_MS) {
      this.wantedSpareAtMs = this.now;
      this.noteWaiting();
    }
  }

  /** A target names another rate. */
  onRates(): void {
    this.applyRates();
    this.decideForAll();
    this.noteWaiting();
  }

  /** A VM asks this one, which answers only where it grants for all. */
  onAsk(vm: string, { number, wants, avoid, mayRefuse, received }: AskPermits): void {
    if (this.options.fleet.chooseGrantor(this.options.service) !== this.options.fleet.self) {
      this.isGrantor = false;
      return;
    }
    this.beginGranting();
    this.heard.set(vm, number);
    const now = this.now;
    const told = wants.map(({ id, rank, leftMs }) => ({ id, rank, untilMs: now + leftMs }));
    this.forAll.take({ vm, wants: told, avoid: new Set(avoid), mayRefuse, received }, now);
    this.decideForAll(vm);
  }

  /** The grantor answered. */
  onGiven(vm: string, { number, grants, refusals }: GivePermits): void {
    this.received.set(vm, (this.received.get(vm) ?? 0) + grants.length);
    const isValid = this.asked.some(
      (ask) => ask.number === number && this.now - ask.atMs <= ASK_VALID_MS,
    );
    if (!isValid) {
      grants.forEach(() => this.options.count('stale'));
      return;
    }
    this.unansweredSinceMs = undefined;
    this.leaveAlone();
    grants.forEach(({ want, target }) =>
      this.use(want, target, (unused) => this.return(vm, unused)),
    );
    refusals.forEach(({ want, retryAfterMs }) => this.refuse(want, retryAfterMs));
  }

  /** A VM had no use for a permit. */
  onReturned(vm: string, target: string): void {
    this.forAll.giveBack(vm, target);
    this.decideForAll();
  }

  /** The link to a VM is lost. */
  onVmLost(vm: string): void {
    this.forAll.forget(vm);
    this.heard.delete(vm);
    this.received.delete(vm);
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  /** Asks then, or earlier where that is due already. */
  private askAt(atMs: Millis): void {
    if (this.askDueAtMs <= atMs) {
      return;
    }
    this.cancelAsk?.();
    this.askDueAtMs = atMs;
    this.cancelAsk = this.options.timers.after(atMs - this.now, () => {
      this.askDueAtMs = Infinity;
      this.ask();
    });
  }

  /** Asks for all that wait, and goes on while some do. */
  private ask(): void {
    const wants = this.readRates().size === 0 ? [] : this.listWants();
    if (wants.length === 0 && !this.hasAsked) {
      return;
    }
    this.hasAsked = wants.length > 0;
    this.lastAskAtMs = this.now;
    this.route(wants);
    if (this.hasAsked) {
      this.askAt(this.now + REFRESH_MS);
    }
  }

  private listWants(): Want[] {
    const wants = this.options.listWants().slice(0, MOST_WANTS);
    const spareUntilMs = this.wantedSpareAtMs + SPARE_LIFE_MS;
    return spareUntilMs > this.now
      ? [...wants, { id: SPARE_WANT, rank: SPARE_RANK, untilMs: spareUntilMs }]
      : wants;
  }

  private listAvoided(): Set<string> {
    const unused = [...this.readRates().keys()].filter(
      (target) => this.unused.ageMs(target, this.now) !== undefined,
    );
    return new Set([...this.options.listAvoided(), ...unused]);
  }

  private route(wants: Want[]): void {
    const { service, fleet } = this.options;
    const grantor = fleet.chooseGrantor(service);
    this.isGrantor &&= grantor === fleet.self;
    if (grantor === fleet.self) {
      this.beginGranting();
      this.leaveAlone();
      this.unansweredSinceMs = undefined;
      this.askOwn(this.forAll, wants);
      this.decideForAll();
      return;
    }
    if (grantor !== undefined) {
      this.askPeer(grantor, wants);
    }
    if (this.isAlone || grantor === undefined) {
      this.actAlone(wants, grantor);
    }
  }

  private askOwn(grantor: PermitGrantor, wants: Want[]): void {
    const { fleet, isAllLimited } = this.options;
    const avoid = this.listAvoided();
    const mayRefuse = isAllLimited();
    const received = Infinity;
    grantor.take({ vm: fleet.self, wants, avoid, mayRefuse, received }, this.now);
  }

  private askPeer(grantor: string, wants: Want[]): void {
    const { service, fleet, timers, isAllLimited } = this.options;
    const now = this.now;
    this.lastNumber += 1;
    const number = this.lastNumber;
    this.asked = this.asked.filter(({ atMs }) => now - atMs <= ASK_VALID_MS);
    this.asked.push({ number, atMs: now });
    if (this.unansweredSinceMs === undefined) {
      this.unansweredSinceMs = now;
      timers.after(ANSWER_MS, () => this.checkAnswer(grantor));
    }
    fleet.send(grantor, {
      kind: 'ask-permits',
      service,
      number,
      wants: wants.map(({ id, rank, untilMs }) => ({
        id,
        rank,
        leftMs: Math.round(untilMs - now),
      })),
      avoid: [...this.listAvoided()],
      mayRefuse: isAllLimited(),
      received: this.received.get(grantor) ?? 0,
    });
  }

  private checkAnswer(grantor: string): void {
    const sinceMs = this.unansweredSinceMs;
    if (sinceMs !== undefined && this.now - sinceMs >= ANSWER_MS) {
      this.actAlone(this.listWants(), grantor);
    }
  }

  /** Keeps to the own part of the rates: what others send can't be known now. */
  private actAlone(wants: Want[], grantor: string | undefined): void {
    if (!this.isAlone) {
      const { service, fleet, noteAlone } = this.options;
      this.isAlone = true;
      this.applyRates();
      this.alone.restart(this.now);
      noteAlone({ service, grantor, isAlone: true, vms: fleet.countVms() });
    }
    this.askOwn(this.alone, wants);
    this.decideAlone();
  }

  private leaveAlone(): void {
    if (this.isAlone) {
      this.isAlone = false;
      this.alone.forget(this.options.fleet.self);
      this.options.noteAlone({ service: this.options.service, isAlone: false });
    }
  }

  private beginGranting(): void {
    this.applyRates();
    if (!this.isGrantor) {
      this.isGrantor = true;
      this.forAll.restart(this.now);
    }
  }

  private readRates(): ReadonlyMap<string, number> {
    return this.options.readRates();
  }

  /** VMs that can't ask this one may be granted permits by another. */
  private applyRates(): void {
    const { fleet } = this.options;
    const vms = Math.max(1, fleet.countVms());
    const rates = this.readRates();
    this.forAll.setRates(scale(rates, Math.min(1, fleet.countReached() / vms)), this.now);
    this.alone.setRates(scale(rates, 1 / vms), this.now);
  }

  /** @param asker is answered also where there is nothing to give */
  private decideForAll(asker?: string): void {
    const { fleet } = this.options;
    const decision = this.forAll.decide(this.now);
    const vms = new Set([...decision.grants, ...decision.refusals].map(({ vm }) => vm));
    if (asker !== undefined) {
      vms.add(asker);
    }
    this.cancelDecide?.();
    this.cancelDecide = this.wakeAt(decision.nextAtMs, () => this.decideForAll());
    for (const vm of vms) {
      if (vm === fleet.self) {
        this.takeOwn(decision, this.forAll);
      } else {
        this.give(vm, decision);
      }
    }
  }

  private decideAlone(): void {
    if (!this.isAlone) {
      return;
    }
    const decision = this.alone.decide(this.now);
    this.cancelDecideAlone?.();
    this.cancelDecideAlone = this.wakeAt(decision.nextAtMs, () => this.decideAlone());
    this.takeOwn(decision, this.alone);
  }

  private wakeAt(atMs: Millis, run: () => void): CancelTimer | undefined {
    return Number.isFinite(atMs)
      ? this.options.timers.after(Math.max(1, Math.ceil(atMs - this.now)), run)
      : undefined;
  }

  private give(vm: string, { grants, refusals }: PermitDecision): void {
    const { service, fleet } = this.options;
    fleet.send(vm, {
      kind: 'give-permits',
      service,
      number: this.heard.get(vm) ?? 0,
      grants: grants
        .filter((grant) => grant.vm === vm)
        .map(({ want, target }) => ({ want, target })),
      refusals: refusals
        .filter((refusal) => refusal.vm === vm)
        .map(({ want, retryAfterMs }) => ({ want, retryAfterMs: Math.round(retryAfterMs) })),
    });
  }

  private takeOwn({ grants, refusals }: PermitDecision, from: PermitGrantor): void {
    const { self } = this.options.fleet;
    for (const { vm, want, target } of grants) {
      if (vm === self) {
        this.use(want, target, (unused) => from.giveBack(self, unused));
      }
    }
    refusals
      .filter(({ vm }) => vm === self)
      .forEach(({ want, retryAfterMs }) => this.refuse(want, retryAfterMs));
  }

  private use(want: number, target: string, giveBack: (target: string) => void): void {
    const { count, onGranted, onSpare } = this.options;
    count('granted');
    if (want === SPARE_WANT) {
      this.wantedSpareAtMs = this.now - SPARE_LIFE_MS;
      onSpare(target, this.now + SPARE_LIFE_MS);
    } else if (!onGranted(target, this.now + SPARE_LIFE_MS)) {
      count('returned');
      if (this.options.listWants().length > 0) {
        this.unused.note(target, this.now);
      }
      giveBack(target);
    }
    this.noteWaiting();
  }

  private refuse(want: number, retryAfterMs: Millis): void {
    this.options.count('refused');
    this.options.onRefused(want, retryAfterMs);
  }

  private return(vm: string, target: string): void {
    const { service, fleet } = this.options;
    fleet.send(vm, { kind: 'return-permit', service, target });
  }
}

function scale(rates: ReadonlyMap<string, number>, share: number): Map<string, number> {
  return new Map([...rates].map(([target, perSecond]) => [target, perSecond * share]));
}
