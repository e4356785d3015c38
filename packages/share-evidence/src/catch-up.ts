/** Decides when a VM asks a peer for what it knows of the store, and which peer. */
import type { Clock, Millis, Timers } from '@limelead/types';
import type { PeerId, StoreKnowledge } from './evidence-exchange.js';

/** Pause between two questions for items while the store is away. */
const ASK_INTERVAL_MS = 400;
/**
 * A VM whose store still seems well learns a new configuration from its own
 * watch; where a peer is ahead for longer than this, the watch is likely dead.
 */
const AHEAD_TOO_LONG_MS = 500;

/** What a peer last said that it knows. */
export interface PeerKnowledge {
  revision: number;
  configuration: number;
}

/** What catching up needs. */
export interface CatchUpOptions {
  clock: Clock;
  timers: Timers;
  readKnowledge(): StoreKnowledge;
  listPeers(): (readonly [PeerId, PeerKnowledge])[];
  ask(peer: PeerId): void;
}

/** Asks while the store does not tell this VM what is new. */
export default class CatchUp {
  private askedAtMs: Millis = -Infinity;
  /** Since when a peer has a newer configuration; undefined while none has. */
  private behindSinceMs: Millis | undefined;

  constructor(private readonly options: CatchUpOptions) {}

  /** Asks the peer that knows most, where it is time to. */
  check(): void {
    const { clock, ask } = this.options;
    const own = this.options.readKnowledge();
    const now = clock.now();
    this.noteBehind(own, now);
    const isBehind = now - (this.behindSinceMs ?? now) >= AHEAD_TOO_LONG_MS;
    if ((own.isInTouch && !isBehind) || now - this.askedAtMs < ASK_INTERVAL_MS) {
      return;
    }
    const newest = this.findNewest();
    if (newest !== undefined && newest[1].revision > own.revision) {
      this.askedAtMs = now;
      ask(newest[0]);
    }
  }

  private findNewest(): readonly [PeerId, PeerKnowledge] | undefined {
    const peers = this.options.listPeers();
    return [...peers].sort(([, a], [, b]) => b.revision - a.revision)[0];
  }

  private noteBehind(own: StoreKnowledge, now: Millis): void {
    const { listPeers, timers } = this.options;
    const isBehind = listPeers().some(([, { configuration }]) => configuration > own.configuration);
    if (!isBehind) {
      this.behindSinceMs = undefined;
    } else if (this.behindSinceMs === undefined) {
      this.behindSinceMs = now;
      timers.after(AHEAD_TOO_LONG_MS, () => this.check());
    }
  }
}
