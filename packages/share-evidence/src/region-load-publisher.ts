/** Sends the load of all VMs of a region, as sums, to the schedulers of other regions. */
import type { Millis, Timers } from '@limelead/types';
import { addTokens, fromTokensColumn, toTokensColumn } from './load-tokens.js';
import type { PeerId, TargetLoad } from './types.js';

/**
 * Changes of load within this time are sent together, in milliseconds. Other regions need the load
 * only to move work there.
 */
const BATCH_MS: Millis = 500;
const NO_LOAD = '[]';

/** Load by target in columns, which take a fifth of the bytes of one object per target. */
export interface RegionLoadColumns {
  targets: string[];
  requests: number[];
  reading: number[];
  copies: number[];
  /** The highest that any VM reported. */
  slowness: number[];
  /** Tokens of memory, 0 where unknown; undefined if none are known. */
  tokens?: number[];
}

/** Dependencies of `RegionLoadPublisher`. */
export interface RegionLoadPublisherOptions {
  timers: Timers;
  /** Returns the load of this VM that belongs to the sums. */
  readOwnLoad(): TargetLoad[];
  /** Linked schedulers of other regions to which this VM sends the sums. */
  listRecipients(): PeerId[];
  send(peers: PeerId[], load: RegionLoadColumns): void;
}

/** Sums the load of the VMs of this region and sends it to other regions. */
export default class RegionLoadPublisher {
  private readonly loads = new Map<PeerId, readonly TargetLoad[]>();
  /** The sums last sent to each recipient, serialised for comparison. */
  private readonly sent = new Map<PeerId, string>();
  private isScheduled = false;

  constructor(private readonly options: RegionLoadPublisherOptions) {}

  /** Sets the load of a VM of the region; empty after the VM is lost. */
  setVmLoad(peer: PeerId, load: readonly TargetLoad[]): void {
    if (load.length === 0) {
      this.loads.delete(peer);
    } else {
      this.loads.set(peer, load);
    }
    this.onLoadChanged();
  }

  /** Schedules publication of a changed load. */
  onLoadChanged(): void {
    if (this.isScheduled || (this.sent.size === 0 && this.options.listRecipients().length === 0)) {
      return;
    }
    this.isScheduled = true;
    this.options.timers.after(BATCH_MS, () => {
      this.isScheduled = false;
      this.publishChanges();
    });
  }

  /** Forgets what was sent to a lost recipient, which has no state after it links again. */
  forgetRecipient(recipient: PeerId): void {
    this.sent.delete(recipient);
  }

  /** Sends the sums to recipients with outdated ones, and empty sums to former recipients. */
  publishChanges(): void {
    const recipients = this.options.listRecipients();
    const removed = [...this.sent.keys()].filter((peer) => !recipients.includes(peer));
    this.sendIfChanged(removed, []);
    removed.forEach((peer) => this.sent.delete(peer));
    if (recipients.length > 0) {
      this.sendIfChanged(recipients, this.sum());
    }
  }

  private sendIfChanged(peers: PeerId[], sums: TargetLoad[]): void {
    const text = JSON.stringify(sums);
    const outdated = peers.filter((peer) => (this.sent.get(peer) ?? NO_LOAD) !== text);
    if (outdated.length > 0) {
      outdated.forEach((peer) => this.sent.set(peer, text));
      this.options.send(outdated, toColumns(sums));
    }
  }

  private sum(): TargetLoad[] {
    const sums = new Map<string, TargetLoad>();
    for (const load of [this.options.readOwnLoad(), ...this.loads.values()].flat()) {
      const sum = sums.get(load.id);
      sums.set(load.id, sum === undefined ? load : addLoads(sum, load));
    }
    return [...sums.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
  }
}

/** Converts columns into one load per target. */
export function fromColumns(columns: RegionLoadColumns): TargetLoad[] {
  return columns.targets.map((id, index) => ({
    id,
    requests: columns.requests[index] ?? 0,
    reading: columns.reading[index] ?? 0,
    copies: columns.copies[index] ?? 0,
    slowness: columns.slowness[index] ?? 1,
    ...fromTokensColumn(columns.tokens, index),
  }));
}

function toColumns(loads: readonly TargetLoad[]): RegionLoadColumns {
  return {
    targets: loads.map(({ id }) => id),
    requests: loads.map(({ requests }) => requests),
    reading: loads.map(({ reading }) => reading),
    copies: loads.map(({ copies }) => copies),
    slowness: loads.map(({ slowness }) => slowness),
    ...toTokensColumn(loads),
  };
}

function addLoads(a: TargetLoad, b: TargetLoad): TargetLoad {
  return {
    id: a.id,
    requests: a.requests + b.requests,
    reading: a.reading + b.reading,
    copies: a.copies + b.copies,
    slowness: Math.max(a.slowness, b.slowness),
    ...addTokens(a, b),
  };
}
