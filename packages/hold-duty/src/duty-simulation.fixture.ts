/** Simulates a store, a platform and VMs that compete for a duty, with scheduled faults. */
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
/** Time until an answer of the store arrives, or a call without one times out. */
const ANSWER_MS = 4;
const LOST_MS = 800;
/** Time within which calls of a duty arrive. */
const ARRIVAL_MS = 1_000;
/** Time after which a stopping process is killed. */
const GRACE_MS = 3_000;
const CALL_INTERVAL_MS = 300;
const MICROTASKS_TO_SETTLE = 12;

/** A fault of one VM, or of the store. */
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

/** Simulated time. */
class SimulatedTime {
  now = 0;
  /** Sorted by time. */
  private readonly due: { atMs: Millis; run: () => void }[] = [];

  schedule(atMs: Millis, run: () => void): void {
    const timer = { atMs: Math.max(atMs, this.now), run };
    const position = this.due.findLastIndex((other) => other.atMs <= timer.atMs);
    this.due.splice(position + 1, 0, timer);
  }

  async runUntil(untilMs: Millis): Promise<void> {
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

/** Items and leases of the simulated store. */
class StoreState {
  private revision = 10;
  private readonly items = new Map<string, Item>();
  private readonly leases = new Map<number, Millis>();

  constructor(private readonly time: SimulatedTime) {}

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
    const isAlive = this.isAlive(lease);
    if (isAlive) {
      this.leases.set(lease, this.time.now + LEASE_MS);
    }
    return isAlive;
  }

  end(lease: number): void {
    this.leases.delete(lease);
  }

  /** Extends all live leases, as after a pause of the store. */
  extend(milliseconds: Millis): void {
    this.leases.forEach((untilMs, lease) => {
      if (untilMs > this.time.now) {
        this.leases.set(lease, untilMs + milliseconds);
      }
    });
  }

  write(conditions: WriteCondition[], writes: StoreWrite[]): number | 'mismatch' | 'lease-gone' {
    const isAlive = conditions.every(
      ({ key, revision }) => (this.read(key)?.revision ?? 0) === revision,
    );
    if (!isAlive) {
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

/** One VM with its current process. */
class Vm {
  pausedUntilMs: Millis = -Infinity;
  isolatedUntilMs: Millis = -Infinity;
  losesAnswersUntilMs: Millis = -Infinity;
  delaysWritesUntilMs: Millis = -Infinity;
  starts = 0;
  duty: Duty | undefined;
  elector: DutyElector | undefined;

  constructor(
    readonly simulation: DutySimulation,
    readonly number: number,
  ) {}

  /** Starts a process; timers of the previous one no longer fire. */
  start(): void {
    this.starts += 1;
    const { time, options } = this.simulation;
    const timers = this.createTimers(this.starts);
    const clock = { now: () => time.now };
    const incarnation = `${this.number}/${this.starts}`;
    const lease = new ConditionalStoreLease({
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
    this.elector = new DutyElector({
      lease,
      duty,
      clock,
      timers,
      random: { next: () => options.random() },
      ttlMs: LEASE_MS,
      readCandidateRank: () => this.number,
      readIsolatedSinceMs: () => undefined,
      isHeldInStore: () => this.simulation.store.read(KEY) !== undefined,
      onFault: () => undefined,
    });
    this.elector.start();
    const makeCall = (): void => {
      this.makeCall(duty, incarnation);
      timers.after(CALL_INTERVAL_MS, makeCall);
    };
    timers.after(CALL_INTERVAL_MS, makeCall);
  }

  private makeCall(duty: Duty, incarnation: string): void {
    const { time, options, calls } = this.simulation;
    const permit = duty.permit(ARRIVAL_MS);
    if (permit !== undefined) {
      const { token } = permit;
      const arrivalMs = time.now + options.random() * ARRIVAL_MS;
      time.schedule(arrivalMs, () => {
        if (options.isFenced && token < this.simulation.highestToken) {
          duty.markTokenOutdated(token);
          return;
        }
        this.simulation.highestToken = Math.max(token, this.simulation.highestToken);
        calls.push({ atMs: time.now, vm: this.number, incarnation, token });
      });
    }
  }

  /** Timers of one process: they fire late while it is paused, and never after it ended. */
  private createTimers(start: number): Timers {
    const { time } = this.simulation;
    const fire = (run: () => void): void => {
      if (this.starts !== start) {
        return;
      }
      if (time.now < this.pausedUntilMs) {
        time.schedule(this.pausedUntilMs, () => fire(run));
        return;
      }
      run();
    };
    return {
      after(milliseconds, run) {
        time.schedule(time.now + milliseconds, () => fire(run));
        return () => undefined;
      },
    };
  }

  private createStore(timers: Timers): ConditionalStore {
    const { store, time, options } = this.simulation;
    const call =
      <Value>(run: () => Value, isWrite = false): PortCall<Value> =>
      () =>
        new Promise((resolve) => {
          const answer = (afterMs: Millis, value: E.Either<PortFault, Value>): void =>
            void timers.after(afterMs, () => resolve(value));
          const lose = (): void => answer(LOST_MS, E.left(new PortFault('timeout', 'maybe', '')));
          if (time.now < Math.max(this.isolatedUntilMs, this.simulation.downUntilMs)) {
            lose();
          } else if (isWrite && time.now < this.delaysWritesUntilMs) {
            time.schedule(time.now + 1_000 + options.random() * 5_000, () => void run());
            lose();
          } else if (time.now < this.losesAnswersUntilMs) {
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

/** Options of a simulation. */
export interface SimulationOptions {
  vms: number;
  isFenced: boolean;
  faults: readonly InjectedFault[];
  /** Returns a random number in [0, 1). */
  random: () => number;
  createDuty?: ((options: LeasedDutyOptions) => LeasedDuty) | undefined;
}

/** A simulation of VMs, a store and a platform. */
export default class DutySimulation {
  readonly time = new SimulatedTime();
  readonly store = new StoreState(this.time);
  readonly calls: PlatformCall[] = [];
  readonly vms: Vm[];
  readonly options: SimulationOptions & { createDuty: (options: LeasedDutyOptions) => LeasedDuty };
  downUntilMs: Millis = -Infinity;
  /** Highest token that the platform has seen. */
  highestToken = 0;

  constructor(options: SimulationOptions) {
    const createDuty = options.createDuty ?? ((duty: LeasedDutyOptions) => new LeasedDuty(duty));
    this.options = { ...options, createDuty };
    this.vms = Array.from({ length: options.vms }, (_, number) => new Vm(this, number));
    this.vms.forEach((vm) => vm.start());
    options.faults.forEach((fault) => this.time.schedule(fault.atMs, () => this.inject(fault)));
  }

  runUntil(untilMs: Millis): Promise<void> {
    return this.time.runUntil(untilMs);
  }

  private inject({ vm: number, kind, forMs }: InjectedFault): void {
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
      vm.isolatedUntilMs = untilMs;
    } else if (kind === 'lose') {
      vm.losesAnswersUntilMs = untilMs;
    } else if (kind === 'late') {
      vm.delaysWritesUntilMs = untilMs;
    } else if (kind === 'aside') {
      vm.elector?.yieldToOthers();
    } else if (kind === 'kill') {
      vm.starts += 1;
      this.time.schedule(untilMs, () => vm.start());
    } else if (kind === 'stop') {
      const { starts } = vm;
      const end = (): void => {
        if (vm.starts === starts) {
          vm.starts += 1;
          this.time.schedule(this.time.now + forMs, () => vm.start());
        }
      };
      void vm.elector?.handOver().then(end);
      this.time.schedule(this.time.now + GRACE_MS, end);
    }
  }
}

/** Returns violations of the rules for holders. */
export function findViolations(calls: readonly PlatformCall[]): string[] {
  const violations: string[] = [];
  const holderByToken = new Map<number, string>();
  const lastCallMs = new Map<number, Millis>();
  /** VMs after whose last call another VM made one. */
  const followed = new Set<number>();
  let highest = 0;
  for (const { token, incarnation, vm, atMs } of calls) {
    if ((holderByToken.get(token) ?? incarnation) !== incarnation) {
      violations.push(`token ${token} of ${holderByToken.get(token)} used by ${incarnation}`);
    }
    if (token < highest) {
      violations.push(`token ${token} after ${highest}`);
    }
    const beforeMs = lastCallMs.get(vm);
    if (beforeMs !== undefined && followed.has(vm) && atMs - beforeMs < LEASE_MS) {
      violations.push(`vm ${vm} at ${beforeMs} and ${atMs} with another between`);
    }
    holderByToken.set(token, incarnation);
    highest = Math.max(token, highest);
    lastCallMs.set(vm, atMs);
    [...lastCallMs.keys()].forEach((other) => followed.add(other));
    followed.delete(vm);
  }
  return violations;
}
