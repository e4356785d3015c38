/**
 * Marks of what this VM knows of its store: hashes of things that no other store has
 * written alike. Two VMs of one store share some also while one of them is behind.
 */
import type { StoreItem } from '@limelead/follow-store';
import type { ServiceTarget } from '@limelead/types';
import { createHash } from 'node:crypto';

/** Configurations that are remembered: those of some minutes, also where an operator is busy. */
const MAX_CONFIGURATIONS = 32;
/** Targets whose marks are told: the same ones at every VM, so that a few suffice. */
const MAX_TARGETS = 16;
/** Bytes of a hash that make a mark: the most that a number holds exactly. */
const FINGERPRINT_BYTES = 6;

/** Remembers the marks of the last configurations. */
export default class StoreFingerprints {
  private configurations: number[] = [];

  /** A configuration, as its item holds it, came into force. */
  addConfiguration({ key, revision, value }: StoreItem): void {
    this.configurations.push(hash([key, String(revision), value]));
    this.configurations = this.configurations.slice(-MAX_CONFIGURATIONS);
  }

  /** Everything that was known is of another store. */
  reset(): void {
    this.configurations = [];
  }

  /** @param ofTargets marks of all targets that are known */
  list(ofTargets: number[]): number[] {
    return [...this.configurations, ...ofTargets.sort((a, b) => a - b).slice(0, MAX_TARGETS)];
  }
}

/** Mark of a target by its creation in the store, which its own writes leave as it is. */
export function fingerprintTarget(
  { key, made }: Pick<StoreItem, 'key' | 'made'>,
  { host, port }: Pick<ServiceTarget, 'host' | 'port'>,
): number | undefined {
  return made === undefined ? undefined : hash([key, String(made), `${host}:${port}`]);
}

function hash(parts: (string | Buffer)[]): number {
  const sum = createHash('sha1');
  parts.forEach((part) => sum.update(part).update('\n'));
  return sum.digest().readUIntBE(0, FINGERPRINT_BYTES);
}
