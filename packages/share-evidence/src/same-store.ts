/**
 * Which peers follow the same store as this VM. Revisions and versions of two stores can't be
 * compared: a VM that took those of another fleet for news of its own refused every
 * proper request. So VMs tell each other marks: short hashes of what only their store can
 * have written, such as each of its last configurations with its revision.
 */
import type { Clock, Millis } from '@limelead/types';
import type { PeerId } from './types.js';

/**
 * Time in which a peer of the same store comes to share a mark, in milliseconds: one that is
 * behind learns the newest configuration within two seconds, and tells so at once.
 */
const PROVE_WITHIN_MS: Millis = 4_000;
/** A stranger is left alone for so long; it may have been given another store by then. */
const AVOID_MS: Millis = 30_000;

/** What a VM tells of its store. */
export interface ToldMarks {
  /** Address of the store, as the sender's settings name it. */
  store: string;
  /** None before the store answered the sender itself. */
  marks: number[];
  /** Whether the sender has yet to see that the receiver follows its store. */
  isUnsure: boolean;
}

/** What it needs. */
export interface SameStoreOptions {
  clock: Clock;
  /** Address of the store in this VM's settings. */
  store: string;
  /** Peers that this VM's settings name. */
  seeds: readonly PeerId[];
  /** Marks of what this VM knows; none before the store answered it. */
  readMarks(): readonly number[];
  onStranger(peer: PeerId): void;
}

interface Claim {
  told: ToldMarks | undefined;
  isProven: boolean;
  /** Since when both ends have marks and share none; undefined while that is not so. */
  differsSinceMs: Millis | undefined;
}

/** Tells peers of the same store from others. */
export default class SameStore {
  private readonly claims = new Map<PeerId, Claim>();
  /** Strangers, with the time until which they are left alone. */
  private readonly avoided = new Map<PeerId, Millis>();

  constructor(private readonly options: SameStoreOptions) {}

  /** A link came up. */
  add(peer: PeerId): void {
    this.claims.set(peer, { told: undefined, isProven: false, differsSinceMs: undefined });
  }

  /** A link was lost. */
  remove(peer: PeerId): void {
    this.claims.delete(peer);
  }

  /** This VM's store is another one now, or began anew. */
  forget(): void {
    this.claims.forEach((claim) => {
      claim.isProven = false;
      claim.differsSinceMs = undefined;
    });
  }

  /** What to tell a peer; undefined where both ends are sure. */
  compose(peer: PeerId): ToldMarks | undefined {
    const claim = this.claims.get(peer);
    const isUnsure = claim?.isProven !== true;
    if (!isUnsure && claim.told?.isUnsure !== true) {
      return undefined;
    }
    const { store, readMarks } = this.options;
    return { store, marks: [...readMarks()], isUnsure };
  }

  /** A peer told marks, or nothing where it is sure, or of a release that knows none. */
  hear(peer: PeerId, told: ToldMarks | undefined): void {
    const claim = this.claims.get(peer);
    if (claim === undefined) {
      return;
    }
    if (told !== undefined) {
      claim.told = told;
    } else if (claim.told !== undefined) {
      claim.told = { ...claim.told, isUnsure: false };
    }
  }

  /**
   * Whether what a peer says of the store counts here. A VM that the store did not answer yet
   * believes peers with the store's address, and seeds that prove each other.
   */
  isTrusted(peer: PeerId): boolean {
    const claim = this.claims.get(peer);
    if (claim?.told === undefined) {
      return false;
    }
    if (!claim.isProven) {
      const own = this.options.readMarks();
      if (own.length === 0) {
        return claim.told.store === this.options.store || this.isBackedBySeed(peer, claim.told);
      }
      claim.isProven = shareMark(own, claim.told.marks);
    }
    return claim.isProven;
  }

  /** Whether a peer may follow the same store, as far as can be told by now. */
  isPossible(peer: PeerId): boolean {
    return this.isTrusted(peer) || !this.differs(peer);
  }

  /** Whether a VM was found to follow another store lately. */
  isAvoided(peer: PeerId): boolean {
    const untilMs = this.avoided.get(peer) ?? -Infinity;
    if (untilMs > this.options.clock.now()) {
      return true;
    }
    this.avoided.delete(peer);
    return false;
  }

  /** Finds peers that had their time to share a mark and did not. */
  findStrangers(): PeerId[] {
    const now = this.options.clock.now();
    const strangers = [...this.claims.keys()].filter((peer) => this.isOverdue(peer, now));
    for (const peer of strangers) {
      this.avoided.set(peer, now + AVOID_MS);
      this.options.onStranger(peer);
    }
    return strangers;
  }

  private isOverdue(peer: PeerId, now: Millis): boolean {
    const claim = this.claims.get(peer);
    if (claim === undefined) {
      return false;
    }
    if (this.isTrusted(peer) || !this.differs(peer)) {
      claim.differsSinceMs = undefined;
      return false;
    }
    claim.differsSinceMs ??= now;
    return now - claim.differsSinceMs >= PROVE_WITHIN_MS;
  }

  private differs(peer: PeerId): boolean {
    const marks = this.claims.get(peer)?.told?.marks ?? [];
    const own = this.options.readMarks();
    return own.length > 0 && marks.length > 0 && !shareMark(own, marks);
  }

  private isBackedBySeed(peer: PeerId, { marks }: ToldMarks): boolean {
    const { seeds } = this.options;
    return (
      seeds.includes(peer) &&
      seeds.some((seed) => seed !== peer && shareMark(marks, this.claims.get(seed)?.told?.marks))
    );
  }
}

function shareMark(some: readonly number[], others: readonly number[] = []): boolean {
  const known = new Set(some);
  return others.some((mark) => known.has(mark));
}
