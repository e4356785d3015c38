/** Decides when a VM asks a peer for what it knows of the store, and which peer. */
import { LARGE_ITEM_BYTES } from '@limelead/follow-store';
import type { Clock, Millis, Timers } from '@limelead/types';
import type { PeerId, PeerKnowledge, StoreKnowledge } from './types.js';

/** Pause between two questions for items while the store is away. */
const ASK_INTERVAL_MS = 400;
/**
 * Time after which a question counts as lost. A configuration of 1,500 routes
 * takes a link of 7 Mbit/s half a second; asked again meanwhile it comes twice.
 */
const ANSWER_TIMEOUT_MS = 1_500;
/**
 * A VM whose store still seems well learns a new configuration from its own
 * watch; where a peer is ahead for longer than this, the watch is likely dead.
 */
const AHEAD_TOO_LONG_MS = 1_000;
/** The same for a large configuration, which takes a small VM's link most of a second. */
const LARGE_AHEAD_TOO_LONG_MS = 1_800;

/** What catching up needs. */
export interface CatchUpOptions {
  clock: Clock;
  timers: Timers;
  readKnowledge(): StoreKnowledge;
  /** Whether this VM asks the store itself; in a large fleet a few VMs do it for all. */
  isFollowing(): boolean;
  listPeers(): (readonly [PeerId, PeerKnowledge])[];
  /** Asks a peer for what it knows beyond a revision. */
  ask(peer: PeerId, since: number): void;
}

/** Asks while the store does not tell this VM what is new. */
export default class CatchUp {
  private askedAtMs: Millis = -Infinity;
  private isAnswerDue = false;
  /** Since when a peer has a newer configuration; undefined while none has. */
  private behindSinceMs: Millis | undefined;

  constructor(private readonly options: CatchUpOptions) {}

  /** Asks the peer that knows most, where it is time to. */
  check(): void {
    const { clock, ask } = this.options;
    const own = this.options.readKnowledge();
    const now = clock.now();
    const newest = this.findNewest();
    const isLarge = (newest?.[1].configurationBytes ?? 0) >= LARGE_ITEM_BYTES;
    const waitMs = isLarge ? LARGE_AHEAD_TOO_LONG_MS : AHEAD_TOO_LONG_MS;
    this.noteBehind(own, now, waitMs);
    const isBehind = now - (this.behindSinceMs ?? now) >= waitMs;
    const hasOwnSource = own.isInTouch && this.options.isFollowing();
    // A VM that starts reads a large configuration from the store, which has the wider link.
    const isStarting = isLarge && own.revision === 0 && !own.isStoreAway;
    const mayWait = (hasOwnSource || isStarting) && !isBehind;
    if (mayWait || now - this.askedAtMs < this.pauseMs(own)) {
      return;
    }
    if (newest !== undefined && newest[1].revision > own.revision) {
      this.askedAtMs = now;
      this.isAnswerDue = true;
      ask(newest[0], own.revision);
    }
  }

  /** A peer told what it knows; another may know more by now. */
  noteAnswer(): void {
    this.isAnswerDue = false;
  }

  /** A VM that others keep current asks as soon as one of them knows more. */
  private pauseMs({ isInTouch }: StoreKnowledge): Millis {
    if (this.isAnswerDue) {
      return ANSWER_TIMEOUT_MS;
    }
    return isInTouch ? 0 : ASK_INTERVAL_MS;
  }

  private findNewest(): readonly [PeerId, PeerKnowledge] | undefined {
    const peers = this.options.listPeers();
    return [...peers].sort(([, a], [, b]) => b.revision - a.revision)[0];
  }

  private noteBehind(own: StoreKnowledge, now: Millis, waitMs: Millis): void {
    const { listPeers, timers } = this.options;
    const isBehind = listPeers().some(([, { configuration }]) => configuration > own.configuration);
    if (!isBehind) {
      this.behindSinceMs = undefined;
    } else if (this.behindSinceMs === undefined) {
      this.behindSinceMs = now;
      timers.after(waitMs, () => this.check());
    }
  }
}
