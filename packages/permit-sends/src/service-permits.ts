/**
 * The permits of one service as one VM sees them: it asks the VM that grants them for all, is asked
 * where that is this one, and keeps to its own part of the rates where nobody answers.
 */
import type { RateLimitedLog } from '@limelead/decision-log';
import type {
  CancelTimer,
  Clock,
  Millis,
  PermitRefusal,
  Random,
  Timers,
  Want,
} from '@limelead/types';
import AskBook from './ask-book.js';
import type { PermitAsk, PermitDecision } from './permit-grantor.js';
import type { AskPermits, GivePermits } from './permit-messages.js';
import type { PermitFleet } from './permit-ports.js';
import TimedGrantor from './timed-grantor.js';

/** A VM that waits asks anew this often, so that what got lost is noticed. */
const REFRESH_MS: Millis = 200;
/** Least time between two asks, for each VM that there is: one VM answers those of all. */
const ASK_PAUSE_PER_VM_MS: Millis = 0.5;
/** Time for an answer: several round trips between failure domains. */
const ANSWER_MS: Millis = 150;
/** Requests that one ask names at most; those behind them wait until these are served. */
const MOST_WANTS = 50;
/** A permit for the next request that comes, behind all that wait. */
const SPARE_WANT = 0;
const SPARE_RANK = 1_000_000;
/** Time between two asks for a spare permit: it shows whether the need of the target is over. */
const SPARE_PAUSE_MS: Millis = 1_000;
/** A spare permit lapses, so that its send is not moved into another span of time. */
const SPARE_LIFE_MS: Millis = 250;

const NOTHING = { grants: [], refusals: [] };

/** What one service's permits need. */
export interface ServicePermitsOptions {
  service: string;
  fleet: PermitFleet;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Targets that name limits, with the permits a second that are granted to those of all VMs who ask. */
  takeRates(): ReadonlyMap<string, number>;
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
  onRefused(want: number, refusal: PermitRefusal): void;
  count(outcome: 'granted' | 'returned' | 'stale' | 'refused'): void;
  noteAlone: RateLimitedLog;
}

/** Asks, grants and keeps to the own part. */
export default class ServicePermits {
  /** Serves all VMs while this one grants. */
  private readonly forAll: TimedGrantor;
  /** Serves this VM alone, with its part of the rates, while no grantor answers. */
  private readonly alone: TimedGrantor;
  private isGrantor = false;
  private isAlone = false;
  private readonly asks: AskBook;
  /** Number of the last ask of each VM. */
  private readonly heard = new Map<string, number>();
  private lastAskAtMs: Millis = -Infinity;
  private unansweredSinceMs: Millis | undefined;
  private wantedSpareAtMs: Millis = -Infinity;
  private hasAsked = false;
  private askDueAtMs: Millis = Infinity;
  private cancelAsk: CancelTimer | undefined;

  constructor(private readonly options: ServicePermitsOptions) {
    const { random } = options;
    this.asks = new AskBook(options.clock);
    this.forAll = new TimedGrantor({
      ...options,
      drawFirst: () => 1,
      onDecision: (decision) => this.share(decision),
    });
    this.alone = new TimedGrantor({
      ...options,
      drawFirst: () => random.next(),
      onDecision: (decision) => this.takeOwn(decision, this.alone),
    });
  }

  /** Requests that wait at this VM for all others. */
  get waiting(): number {
    return this.forAll.waiting;
  }

  /** Requests of this VM wait, or no longer. */
  onQueueChanged(): void {
    const pauseMs = this.options.fleet.countVms() * ASK_PAUSE_PER_VM_MS;
    this.askAt(Math.max(this.now, this.lastAskAtMs + pauseMs));
  }

  /** A request went to a target without a limit, while others of the service name some. */
  recordSendElsewhere(): void {
    if (this.now - this.wantedSpareAtMs >= SPARE_PAUSE_MS) {
      this.wantedSpareAtMs = this.now;
      this.onQueueChanged();
    }
  }

  /** A target names another rate. */
  onRates(): void {
    this.applyRates();
    this.forAll.decide();
    this.onQueueChanged();
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
    this.forAll.take({ vm, wants: told, avoid: new Set(avoid), mayRefuse, received });
    // The asker has to see that its ask was heard, also where there is nothing to give.
    this.give(vm, NOTHING);
    this.forAll.decide();
  }

  /** The grantor answered. */
  onGiven(vm: string, { number, grants, refusals }: GivePermits): void {
    if (!this.asks.receive(vm, number, grants.length)) {
      grants.forEach(() => this.options.count('stale'));
      return;
    }
    this.unansweredSinceMs = undefined;
    this.leaveAlone();
    grants.forEach(({ want, target }) =>
      this.use(want, target, (unused) => this.return(vm, unused)),
    );
    refusals.forEach(({ want, retryAfterMs }) =>
      this.refuse(want, { retryAfterMs, grantedBy: vm }),
    );
  }

  /** A VM had no use for a permit. */
  onReturned(vm: string, target: string): void {
    this.forAll.giveBack(vm, target);
  }

  /** The link to a VM is lost. */
  onVmLost(vm: string): void {
    this.forAll.forget(vm);
    this.heard.delete(vm);
    this.asks.forget(vm);
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
    const wants = this.options.takeRates().size === 0 ? [] : this.listWants();
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

  private route(wants: Want[]): void {
    const { service, fleet } = this.options;
    const grantor = fleet.chooseGrantor(service);
    this.isGrantor &&= grantor === fleet.self;
    if (grantor === fleet.self) {
      this.beginGranting();
      this.leaveAlone();
      this.unansweredSinceMs = undefined;
      this.askOwn(this.forAll, wants);
      return;
    }
    if (grantor !== undefined) {
      this.askPeer(grantor, wants);
    }
    if (this.isAlone || grantor === undefined) {
      this.actAlone(wants, grantor);
    }
  }

  private askOwn(grantor: TimedGrantor, wants: Want[]): void {
    grantor.take({ ...this.describeAsk(wants), vm: this.options.fleet.self, received: Infinity });
    grantor.decide();
  }

  private describeAsk(wants: Want[]): Pick<PermitAsk, 'wants' | 'avoid' | 'mayRefuse'> {
    const { listAvoided, isAllLimited } = this.options;
    return { wants, avoid: listAvoided(), mayRefuse: isAllLimited() };
  }

  private askPeer(grantor: string, wants: Want[]): void {
    const { service, fleet, timers } = this.options;
    const now = this.now;
    if (this.unansweredSinceMs === undefined) {
      this.unansweredSinceMs = now;
      timers.after(ANSWER_MS, () => this.checkAnswer(grantor));
    }
    const { avoid, mayRefuse } = this.describeAsk(wants);
    fleet.send(grantor, {
      kind: 'ask-permits',
      service,
      number: this.asks.begin(),
      wants: wants.map(({ id, rank, untilMs }) => ({
        id,
        rank,
        leftMs: Math.round(untilMs - now),
      })),
      avoid: [...avoid],
      mayRefuse,
      received: this.asks.countFrom(grantor),
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
      this.alone.restart();
      noteAlone({ service, grantor, isAlone: true, vms: fleet.countVms() });
    }
    this.askOwn(this.alone, wants);
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
      this.forAll.restart();
    }
  }

  /** VMs that can't ask this one may be granted permits by another. */
  private applyRates(): void {
    const { fleet } = this.options;
    const vms = Math.max(1, fleet.countVms());
    const rates = this.options.takeRates();
    this.forAll.setRates(scale(rates, Math.min(1, fleet.countReached() / vms)));
    this.alone.setRates(scale(rates, 1 / vms));
  }

  /** Gives each VM its part of what was decided for all. */
  private share(decision: PermitDecision): void {
    const vms = new Set([...decision.grants, ...decision.refusals].map(({ vm }) => vm));
    for (const vm of vms) {
      if (vm === this.options.fleet.self) {
        this.takeOwn(decision, this.forAll);
      } else {
        this.give(vm, decision);
      }
    }
  }

  private give(vm: string, { grants, refusals }: Omit<PermitDecision, 'nextAtMs'>): void {
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

  private takeOwn({ grants, refusals }: PermitDecision, from: TimedGrantor): void {
    const { self } = this.options.fleet;
    for (const { vm, want, target } of grants) {
      if (vm === self) {
        this.use(want, target, (unused) => from.giveBack(self, unused));
      }
    }
    refusals
      .filter(({ vm }) => vm === self)
      .forEach(({ want, retryAfterMs }) => this.refuse(want, { retryAfterMs, grantedBy: self }));
  }

  private use(want: number, target: string, giveBack: (target: string) => void): void {
    const { count, onGranted, onSpare } = this.options;
    count('granted');
    if (want === SPARE_WANT) {
      this.wantedSpareAtMs = this.now - SPARE_LIFE_MS;
      onSpare(target, this.now + SPARE_LIFE_MS);
    } else if (!onGranted(target, this.now + SPARE_LIFE_MS)) {
      count('returned');
      giveBack(target);
    }
    this.onQueueChanged();
  }

  private refuse(want: number, refusal: PermitRefusal): void {
    this.options.count('refused');
    this.options.onRefused(want, refusal);
  }

  private return(vm: string, target: string): void {
    const { service, fleet } = this.options;
    fleet.send(vm, { kind: 'return-permit', service, target });
  }
}

function scale(rates: ReadonlyMap<string, number>, share: number): Map<string, number> {
  return new Map([...rates].map(([target, perSecond]) => [target, perSecond * share]));
}
