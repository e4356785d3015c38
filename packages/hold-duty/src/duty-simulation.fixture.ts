/** A store, a platform and some VMs on a clock of their own, with troubles at set times. */
import { PortFault } from '@limelead/errors';
import type { ConditionalStore, PortCall, StoreWrite, WriteCondition } from '@limelead/ports';
import type { Millis, Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import ConditionalStoreLease from './conditional-store-lease.js';
import type { Duty } from './duty.js';
import DutyElector from './duty-elector.js';
import LeasedDuty, { type LeasedDutyOptions } from './leased-duty.js';

export const LEASE_MS = 3_000;
const KEY = 'duties';
/** An answer of the store takes this long, and is lost behind the other. */
const ANSWER_MS = 4;
const LOST_MS = 800;
/** Calls of a duty arrive within this time. */
const ARRIVAL_MS = 1_000;
/** A process that stops is killed behind this time. */
const GRACE_MS = 3_000;
const ACT_EVERY_MS = 300;
const MICROTASKS_TO_SETTLE = 12;

/** What befalls one VM, or the store where `vm` says 'store'. */
export interface InjectedFault {
  atMs: Millis;
  vm: number | 'store';
  kind:
    'pause' | 'kill' | 'stop' | 'aside' | 'cut' | 'lose' | 'late' | 'down-waiting' | 'down-lapsing';
  forMs: Millis;
}

/** A call as it reached the platform. */
export interface PlatformCall {
  atMs: Millis;
  vm: number;
  incarnation: string;
  token: number;
}

interface Item {
  value: Buffer;
  revision: number;
  lease: number;
}

/** Time of the whole world. */
class Time {
  now = 0;
  /** In order. */
  private readonly due: { atMs: Millis; run: () => void }[] = [];

  at(atMs: Millis, run: () => void): void {
    const timer = { atMs: Math.max(atMs, this.now), run };
    const place = this.due.findLastIndex((other) => other.atMs <= timer.atMs);
    this.due.splice(place + 1, 0, timer);
  }

  async playUntil(untilMs: Millis): Promise<void> {
    for (;;) {
      const next = this.due[0];
      if (next === undefined || next.atMs > untilMs) {
        this.now = untilMs;
        return;
      }
      this.due.shift();
      this.now = next.atMs;
      next.run();
      for (let turn = 0; turn < MICROTASKS_TO_SETTLE; turn += 1) {
        await Promise.resolve();
      }
    }
  }
}

/** What the platform's store keeps, by its pages. */
class StoreState {
  private revision = 10;
  private readonly items = new Map<string, Item>();
  private readonly leases = new Map<number, Millis>();

  constructor(private readonly time: Time) {}

  read(key: string): Item | undefined {
    const item = this.items.get(key);
    return item !== undefined && this.isAlive(item.lease) ? item : undefined;
  }

  grant(ttlMs: Millis): number {
    this.revision += 1;
    this.leases.set(this.revision, this.time.now + ttlMs);
    return this.revision;
  }

  renew(lease: number): boolean {
    const stands = this.isAlive(lease);
    if (stands) {
      this.leases.set(lease, this.time.now + LEASE_MS);
    }
    return stands;
  }

  end(lease: number): void {
    this.leases.delete(lease);
  }

  /** Leases stood still for so long. */
  extend(milliseconds: Millis): void {
    this.leases.forEach((untilMs, lease) => {
      if (untilMs > this.time.now) {
        this.leases.set(lease, untilMs + milliseconds);
      }
    });
  }

  write(conditions: WriteCondition[], writes: StoreWrite[]): number | 'mismatch' | 'lease-gone' {
    const stands = conditions.every(
      ({ key, revision }) => (this.read(key)?.revision ?? 0) === revision,
    );
    if (!stands) {
      return 'mismatch';
    }
    const puts = writes.flatMap((write) => (write.kind === 'put' ? [write] : []));
    if (puts.some(({ lease }) => lease !== undefined && !this.isAlive(lease))) {
      return 'lease-gone';
    }
    this.revision += 1;
    for (const { key, value, lease = 0 } of puts) {
      this.items.set(key, { value, revision: this.revision, lease });
    }
    return this.revision;
  }

  private isAlive(lease: number): boolean {
    return lease === 0 || (this.leases.get(lease) ?? -Infinity) > this.time.now;
  }
}

/** One VM, with the process that runs there now. */
class Vm {
  pausedUntilMs: Millis = -Infinity;
  cutUntilMs: Millis = -Infinity;
  losesUntilMs: Millis = -Infinity;
  lateUntilMs: Millis = -Infinity;
  starts = 0;
  duty: Duty | undefined;
  keeper: DutyElector | undefined;

  constructor(
    readonly world: DutySimulation,
    readonly number: number,
  ) {}

  /** Starts a process; the one before does nothing any more. */
  start(): void {
    this.starts += 1;
    const { time, options } = this.world;
    const timers = this.createTimers(this.starts);
    const clock = { now: () => time.now };
    const incarnation = `${this.number}/${this.starts}`;
    const seat = new ConditionalStoreLease({
      store: this.createStore(timers),
      key: KEY,
      vm: `vm-${this.number}`,
      incarnation,
      ttlMs: LEASE_MS,
      clock,
    });
    const duty = options.createDuty({
      holder: `vm-${this.number}`,
      clock,
      timeOfDay: clock,
      reacquireDelayMs: LEASE_MS,
      marginMs: 100,
      onAcquired: () => undefined,
      onLost: () => undefined,
      onClockJump: () => undefined,
    });
    this.duty = duty;
    this.keeper = new DutyElector({
      lease: seat,
      duty,
      clock,
      timers,
      random: { next: () => options.random() },
      ttlMs: LEASE_MS,
      readCandidateRank: () => this.number,
      readIsolatedSinceMs: () => undefined,
      isHeldInStore: () => this.world.store.read(KEY) !== undefined,
      onFault: () => undefined,
    });
    this.keeper.start();
    const act = (): void => {
      this.act(duty, incarnation);
      timers.after(ACT_EVERY_MS, act);
    };
    timers.after(ACT_EVERY_MS, act);
  }

  private act(duty: Duty, incarnation: string): void {
    const { time, options, calls } = this.world;
    const permit = duty.permit(ARRIVAL_MS);
    if (permit !== undefined) {
      const { token } = permit;
      const arrivalMs = time.now + options.random() * ARRIVAL_MS;
      time.at(arrivalMs, () => {
        if (options.isFenced && token < this.world.highestToken) {
          duty.markTokenOutdated(token);
          return;
        }
        this.world.highestToken = Math.max(token, this.world.highestToken);
        calls.push({ atMs: time.now, vm: this.number, incarnation, token });
      });
    }
  }

  /** Timers of one process: late where it stands still, and never again once it is gone. */
  private createTimers(start: number): Timers {
    const { time } = this.world;
    const fire = (run: () => void): void => {
      if (this.starts !== start) {
        return;
      }
      if (time.now < this.pausedUntilMs) {
        time.at(this.pausedUntilMs, () => fire(run));
        return;
      }
      run();
    };
    return {
      after(milliseconds, run) {
        time.at(time.now + milliseconds, () => fire(run));
        return () => undefined;
      },
    };
  }

  private createStore(timers: Timers): ConditionalStore {
    const { store, time, options } = this.world;
    const call =
      <Value>(run: () => Value, isWrite = false): PortCall<Value> =>
      () =>
        new Promise((resolve) => {
          const answer = (afterMs: Millis, value: E.Either<PortFault, Value>): void =>
            void timers.after(afterMs, () => resolve(value));
          const lose = (): void => answer(LOST_MS, E.left(new PortFault('timeout', 'maybe', '')));
          if (time.now < Math.max(this.cutUntilMs, this.world.downUntilMs)) {
            lose();
          } else if (isWrite && time.now < this.lateUntilMs) {
            time.at(time.now + 1_000 + options.random() * 5_000, () => void run());
            lose();
          } else if (time.now < this.losesUntilMs) {
            run();
            lose();
          } else {
            answer(ANSWER_MS, E.right(run()));
          }
        });
    return {
      read: (key) =>
        call(() => {
          const item = store.read(key);
          return item && { key, value: item.value, revision: item.revision };
        }),
      write: (conditions, writes) =>
        call(() => {
          const outcome = store.write(conditions, writes);
          return typeof outcome === 'number'
            ? { kind: 'written' as const, revision: outcome }
            : { kind: outcome };
        }, true),
      grantLease: (ttlMs) => call(() => ({ lease: store.grant(ttlMs), ttlMs }), true),
      renewLease: (lease) => call(() => store.renew(lease)),
      endLease: (lease) => call(() => store.end(lease), true),
    };
  }
}

/** How a world is made. */
export interface SimulationOptions {
  vms: number;
  isFenced: boolean;
  faults: readonly InjectedFault[];
  /** In [0, 1). */
  random: () => number;
  createDuty?: ((options: LeasedDutyOptions) => LeasedDuty) | undefined;
}

/** Everything. */
export default class DutySimulation {
  readonly time = new Time();
  readonly store = new StoreState(this.time);
  readonly calls: PlatformCall[] = [];
  readonly vms: Vm[];
  readonly options: SimulationOptions & { createDuty: (options: LeasedDutyOptions) => LeasedDuty };
  downUntilMs: Millis = -Infinity;
  /** That the platform has seen. */
  highestToken = 0;

  constructor(options: SimulationOptions) {
    const createDuty = options.createDuty ?? ((duty: LeasedDutyOptions) => new LeasedDuty(duty));
    this.options = { ...options, createDuty };
    this.vms = Array.from({ length: options.vms }, (_, number) => new Vm(this, number));
    this.vms.forEach((vm) => vm.start());
    options.faults.forEach((trouble) => this.time.at(trouble.atMs, () => this.begin(trouble)));
  }

  runUntil(untilMs: Millis): Promise<void> {
    return this.time.playUntil(untilMs);
  }

  private begin({ vm: number, kind, forMs }: InjectedFault): void {
    const untilMs = this.time.now + forMs;
    if (number === 'store') {
      this.downUntilMs = untilMs;
      if (kind === 'down-waiting') {
        this.store.extend(forMs);
      }
      return;
    }
    const vm = this.vms[number];
    if (vm === undefined) {
      return;
    }
    if (kind === 'pause') {
      vm.pausedUntilMs = untilMs;
    } else if (kind === 'cut') {
      vm.cutUntilMs = untilMs;
    } else if (kind === 'lose') {
      vm.losesUntilMs = untilMs;
    } else if (kind === 'late') {
      vm.lateUntilMs = untilMs;
    } else if (kind === 'aside') {
      vm.keeper?.yieldToOthers();
    } else if (kind === 'kill') {
      vm.starts += 1;
      this.time.at(untilMs, () => vm.start());
    } else if (kind === 'stop') {
      const { starts } = vm;
      const end = (): void => {
        if (vm.starts === starts) {
          vm.starts += 1;
          this.time.at(this.time.now + forMs, () => vm.start());
        }
      };
      void vm.keeper?.handOver().then(end);
      this.time.at(this.time.now + GRACE_MS, end);
    }
  }
}

/** What holders must not do; empty where they did not. */
export function findViolations(acts: readonly PlatformCall[]): string[] {
  const broken: string[] = [];
  const holderOf = new Map<number, string>();
  const lastActMs = new Map<number, Millis>();
  /** VMs whose last act has another's behind it. */
  const followed = new Set<number>();
  let highest = 0;
  for (const { token, incarnation, vm, atMs } of acts) {
    if ((holderOf.get(token) ?? incarnation) !== incarnation) {
      broken.push(`token ${token} of ${holderOf.get(token)} used by ${incarnation}`);
    }
    if (token < highest) {
      broken.push(`token ${token} behind ${highest}`);
    }
    const beforeMs = lastActMs.get(vm);
    if (beforeMs !== undefined && followed.has(vm) && atMs - beforeMs < LEASE_MS) {
      broken.push(`vm ${vm} at ${beforeMs} and ${atMs} with another between`);
    }
    holderOf.set(token, incarnation);
    highest = Math.max(token, highest);
    lastActMs.set(vm, atMs);
    [...lastActMs.keys()].forEach((other) => followed.add(other));
    followed.delete(vm);
  }
  return broken;
}
