/** State of the key-value service: versioned values, leases and waiting watches. */
import type { Lease, StoredValue, SwapOutcome } from './key-value-shapes.js';
import type { Clock } from '@limelead/types';

/** Operations of the key-value service, without HTTP. */
export interface KeyValueState {
  get(key: string): StoredValue;
  compareAndSwap(key: string, expectedVersion: number, value: string): SwapOutcome;
  delete(key: string, expectedVersion: number): boolean;
  /** Resolves with a newer version, or with the current one after `waitMs`. */
  watch(key: string, afterVersion: number, waitMs: number): Promise<StoredValue>;
  acquireLease(name: string, holder: string, ttlMs: number): Lease;
  releaseLease(name: string, holder: string): void;
  /** Copies all values; leases are not included. */
  backUp(): Backup;
  /** Replaces all values by a backup, as after a loss of the service's disks. */
  restore(backup: Backup): void;
}

export type Backup = ReadonlyMap<string, StoredValue>;

interface HeldLease {
  holder: string;
  epoch: number;
  untilMs: number;
}

/** Creates an empty state. */
export default function createKeyValueState(clock: Clock): KeyValueState {
  let values = new Map<string, StoredValue>();
  const leases = new Map<string, HeldLease>();
  const watches = new Map<string, Set<() => void>>();
  let lastVersion = 0;

  const get = (key: string): StoredValue => values.get(key) ?? { version: 0, value: '' };

  function put(key: string, value: string): number {
    lastVersion += 1;
    values.set(key, { version: lastVersion, value });
    watches.get(key)?.forEach((notify) => notify());
    return lastVersion;
  }

  function toLease(name: string, { holder, epoch, untilMs }: HeldLease): Lease {
    return { name, holder, epoch, remainingMs: Math.max(0, untilMs - clock.now()) };
  }

  return {
    get,
    compareAndSwap(key, expectedVersion, value) {
      const current = get(key);
      return current.version === expectedVersion
        ? { kind: 'swapped', version: put(key, value) }
        : { kind: 'mismatch', current };
    },
    delete(key, expectedVersion) {
      return get(key).version === expectedVersion && values.delete(key);
    },
    async watch(key, afterVersion, waitMs) {
      if (get(key).version <= afterVersion) {
        await waitForChange(watches, key, waitMs);
      }
      return get(key);
    },
    acquireLease(name, holder, ttlMs) {
      const now = clock.now();
      const held = leases.get(name);
      if (held !== undefined && held.holder !== holder && held.untilMs > now) {
        return toLease(name, held);
      }
      const isRenewal = held?.holder === holder && held.untilMs > now;
      const epoch = isRenewal ? held.epoch : (held?.epoch ?? 0) + 1;
      const lease = { holder, epoch, untilMs: now + ttlMs };
      leases.set(name, lease);
      return toLease(name, lease);
    },
    releaseLease(name, holder) {
      const held = leases.get(name);
      if (held?.holder === holder) {
        leases.set(name, { ...held, untilMs: 0 });
      }
    },
    backUp: () => new Map(values),
    restore(backup) {
      values = new Map(backup);
    },
  };
}

function waitForChange(
  watches: Map<string, Set<() => void>>,
  key: string,
  waitMs: number,
): Promise<void> {
  const waiting = watches.get(key) ?? new Set();
  watches.set(key, waiting);
  return new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      waiting.delete(finish);
      resolve();
    };
    const timer = setTimeout(finish, waitMs);
    timer.unref();
    waiting.add(finish);
  });
}
