/**
 * News of lost targets, spread from peer to peer. When a failure domain goes,
 * many targets are found lost by many VMs at once; what is found within a moment
 * is told together, and each target only once in a while.
 */
import { RecentTimes, type Clock, type Timers } from '@limelead/types';
import type { PeerId } from './types.js';

/** A target told as lost again within this time is no news, in milliseconds. */
const NEWS_MS = 600;
/** Losses found within this time are told together, in milliseconds. */
const GATHER_MS = 10;

/** What the news need. */
export interface LossNewsOptions {
  clock: Clock;
  timers: Timers;
  /** Peers that are told. */
  listPeers(): PeerId[];
  tell(peer: PeerId, targets: string[]): void;
}

/** Gathers losses and tells them. */
export default class LossNews {
  private readonly told = new RecentTimes(NEWS_MS);
  /** Targets to tell of, with the peer that told this VM; undefined for this VM itself. */
  private readonly due = new Map<string, PeerId | undefined>();

  constructor(private readonly options: LossNewsOptions) {}

  /** Takes a loss; true where it is news, which is then passed on. */
  take(target: string, from?: PeerId): boolean {
    const now = this.options.clock.now();
    if (this.told.ageMs(target, now) !== undefined) {
      return false;
    }
    this.told.note(target, now);
    if (this.due.size === 0) {
      this.options.timers.after(GATHER_MS, () => this.tellAll());
    }
    this.due.set(target, from);
    return true;
  }

  private tellAll(): void {
    const due = [...this.due];
    this.due.clear();
    for (const peer of this.options.listPeers()) {
      const targets = due.filter(([, from]) => from !== peer).map(([target]) => target);
      if (targets.length > 0) {
        this.options.tell(peer, targets);
      }
    }
  }
}
