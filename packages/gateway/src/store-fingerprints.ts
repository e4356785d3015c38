/**
 * Fingerprints that identify the store of a VM: hashes of items that no other store contains.
 * Two VMs of one store share some of them even if one VM's view is older.
 */
import type { StoreItem } from '@limelead/follow-store';
import type { ServiceTarget } from '@limelead/types';
import { createHash } from 'node:crypto';

/** Number of recent configurations whose fingerprints are kept. */
const MAX_CONFIGURATIONS = 32;
/** Number of target fingerprints to send; all VMs select the same ones. */
const MAX_TARGETS = 16;
/** Bytes of the hash that are used: as many as a number represents exactly. */
const FINGERPRINT_BYTES = 6;

/** Keeps the fingerprints of the last configurations. */
export default class StoreFingerprints {
  private configurations: number[] = [];

  /** Adds the fingerprint of a configuration that came into force. */
  addConfiguration({ key, revision, value }: StoreItem): void {
    this.configurations.push(hash([key, String(revision), value]));
    this.configurations = this.configurations.slice(-MAX_CONFIGURATIONS);
  }

  /** Drops all fingerprints. */
  reset(): void {
    this.configurations = [];
  }

  /** @param ofTargets fingerprints of all known targets */
  list(ofTargets: number[]): number[] {
    return [...this.configurations, ...ofTargets.sort((a, b) => a - b).slice(0, MAX_TARGETS)];
  }
}

/** Fingerprint of a target: its key, address and creation revision, which heartbeats don't change. */
export function fingerprintTarget(
  { key, made }: Pick<StoreItem, 'key' | 'made'>,
  { host, port }: Pick<ServiceTarget, 'host' | 'port'>,
): number | undefined {
  return made === undefined ? undefined : hash([key, String(made), `${host}:${port}`]);
}

function hash(parts: (string | Buffer)[]): number {
  const hasher = createHash('sha1');
  parts.forEach((part) => hasher.update(part).update('\n'));
  return hasher.digest().readUIntBE(0, FINGERPRINT_BYTES);
}
