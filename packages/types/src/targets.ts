/** VMs and targets as listed by the platform and as they report themselves. */
import type { Millis } from './time.js';

/** Id of a target: a model engine or a plain service on one VM. */
export type TargetId = string;

/** Id of an entry VM. */
export type VmId = string;

/** Purpose of a listed VM. */
export type VmRole = 'entry' | 'engine' | 'plain';

/** An entry of the platform's list of VMs. */
export interface ListedVm {
  id: string;
  role: VmRole;
  /** IP address of the VM. */
  host: string;
  port: number;
  failureDomain: string;
  /** Whether the platform announced that the VM will leave. */
  leaving: boolean;
  /** Names of the plain services on the VM; empty for other roles. */
  services: string[];
}

/** The list of VMs at one time. */
export interface VmList {
  /** Increases with each change of the list. */
  version: number;
  vms: ListedVm[];
}

/** A model with adapter and version; an answer never mixes two of them. */
export interface ModelVersion {
  model: string;
  adapter: string;
  version: string;
}

/** Load that an engine reports; it may be outdated. */
export interface LoadReport {
  /** Engine's clock when the figures were taken. */
  takenAtMs: Millis;
  /** Generations that receive tokens. */
  running: number;
  /** Generations that wait for a slot. */
  waiting: number;
  /** Slots of the running batch. */
  slots: number;
  /** Milliseconds between two tokens of a stream. */
  tokenGapMs: number;
  /** Prompt tokens processed a second. */
  prefillTokensPerSecond: number;
  loaded: ModelVersion[];
  /** Highest fence of an accepted order. */
  fence: number;
}

/** A change of an engine's prefix cache; events may arrive late or not at all. */
export interface CacheEvent {
  sequence: number;
  /** Hash of a prompt prefix that ends at a block boundary. */
  prefixHash: string;
  change: 'stored' | 'evicted';
}

export function isSameModelVersion(a: ModelVersion, b: ModelVersion): boolean {
  return a.model === b.model && a.adapter === b.adapter && a.version === b.version;
}

/** Formats a model version for logs and keys. */
export function formatModelVersion(version: ModelVersion): string {
  return `${version.model}/${version.adapter || '-'}@${version.version}`;
}
