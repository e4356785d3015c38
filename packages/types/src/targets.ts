/** VMs and targets as the platform lists them and as they report themselves. */
import type { Millis } from './time.js';

/** Identifies a target: a model engine or a plain service on one VM. */
export type TargetId = string;

/** Identifies an entry VM. */
export type VmId = string;

/** What a listed VM is for. */
export type VmRole = 'entry' | 'engine' | 'plain';

/** One line of the platform's list of VMs. */
export interface ListedVm {
  id: string;
  role: VmRole;
  /** IP number of the VM. */
  host: string;
  port: number;
  failureDomain: string;
  /** True once the platform has announced that the VM will leave. */
  leaving: boolean;
  /** Plain services that run there, by name; empty for other roles. */
  services: string[];
}

/** The list of VMs as it was at one time. */
export interface VmList {
  /** Grows with each change of the list. */
  version: number;
  vms: ListedVm[];
}

/** A model with adapter and version; answers never mix two of them. */
export interface ModelVersion {
  model: string;
  adapter: string;
  version: string;
}

/** What an engine says of itself, with a lag. */
export interface LoadReport {
  /** Time of the engine's clock when the figures were taken. */
  takenAtMs: Millis;
  /** Generations that receive tokens now. */
  running: number;
  /** Generations that wait for a slot. */
  waiting: number;
  /** Slots of the running batch. */
  slots: number;
  /** Milliseconds between the tokens of one stream now. */
  tokenGapMs: number;
  /** Prompt tokens processed a second. */
  prefillTokensPerSecond: number;
  loaded: ModelVersion[];
  /** Highest fence of an order that the engine has accepted. */
  fence: number;
}

/** An entry of an engine's prefix cache, published late and with gaps. */
export interface CacheEvent {
  sequence: number;
  /** Hash of a prefix of the prompt, at a block boundary. */
  prefixHash: string;
  change: 'stored' | 'evicted';
}

/** Compares two model versions. */
export function isSameModelVersion(a: ModelVersion, b: ModelVersion): boolean {
  return a.model === b.model && a.adapter === b.adapter && a.version === b.version;
}

/** A short text for logs and keys. */
export function describeModelVersion(version: ModelVersion): string {
  return `${version.model}/${version.adapter || '-'}@${version.version}`;
}
