/**
 * Verifies which peers follow the same store as this VM, since revisions and versions of two stores
 * cannot be compared: a VM that took those of another fleet for changes of its own store refused
 * all valid requests. VMs exchange marks: short hashes of data that only their store can hold, such
 * as its last configurations with their revisions.
 */
import type { Clock, Millis } from '@limelead/types';
import type { PeerId } from './types.js';

/**
 * Time in which a peer of the same store shares a mark; it covers the delay until an outdated peer
 * gets the newest configuration.
 */
const VERIFY_TIMEOUT_MS: Millis = 4_000;
/** Time for which a peer counts as foreign; it may be configured with this store afterwards. */
const FOREIGN_TTL_MS: Millis = 30_000;

/** What a VM reports about its store. */
export interface AdvertisedStoreMarks {
  /** Address of the store in the sender's settings. */
  store: string;
  /** Empty until the store answered the sender itself. */
  marks: number[];
  /** Whether the sender has not verified yet that the receiver follows its store. */
  isUnsure: boolean;
}

/** Dependencies of `PeerStoreVerifier`. */
export interface PeerStoreVerifierOptions {
  clock: Clock;
  /** Address of the store in this VM's settings. */
  store: string;
  /** Peers in this VM's settings. */
  seeds: readonly PeerId[];
  /** Marks of what this VM knows; empty until the store answered it. */
  readStoreMarks(): readonly number[];
  onForeignPeer(peer: PeerId): void;
}

interface Verification {
  advertised: AdvertisedStoreMarks | undefined;
  isVerified: boolean;
  /** Time since which both ends have marks and none in common; undefined otherwise. */
  differsSinceMs: Millis | undefined;
}

/** Tells peers of the same store from foreign ones. */
export default class PeerStoreVerifier {
  private readonly verifications = new Map<PeerId, Verification>();
  /** Foreign peers, with the time until which they count as such. */
  private readonly foreignUntilMs = new Map<PeerId, Millis>();

  constructor(private readonly options: PeerStoreVerifierOptions) {}

  /** Handles a new link. */
  add(peer: PeerId): void {
    this.verifications.set(peer, {
      advertised: undefined,
      isVerified: false,
      differsSinceMs: undefined,
    });
  }

  /** Handles the loss of a link. */
  remove(peer: PeerId): void {
    this.verifications.delete(peer);
  }

  /** Requires all peers to be verified again after the store of this VM was replaced or reset. */
  reset(): void {
    this.verifications.forEach((verification) => {
      verification.isVerified = false;
      verification.differsSinceMs = undefined;
    });
  }

  /** Returns what to report to a peer; undefined if both ends are sure. */
  composeMarks(peer: PeerId): AdvertisedStoreMarks | undefined {
    const verification = this.verifications.get(peer);
    const isUnsure = verification?.isVerified !== true;
    if (!isUnsure && verification.advertised?.isUnsure !== true) {
      return undefined;
    }
    const { store, readStoreMarks } = this.options;
    return { store, marks: [...readStoreMarks()], isUnsure };
  }

  /** Records what a peer reported; undefined if it is sure, or of an older release. */
  onMarks(peer: PeerId, advertised: AdvertisedStoreMarks | undefined): void {
    const verification = this.verifications.get(peer);
    if (verification === undefined) {
      return;
    }
    if (advertised !== undefined) {
      verification.advertised = advertised;
    } else if (verification.advertised !== undefined) {
      verification.advertised = { ...verification.advertised, isUnsure: false };
    }
  }

  /**
   * Whether what a peer reports about the store is used here. Until the store answers, a VM trusts
   * peers with the same store address and seeds that confirm each other.
   */
  isTrusted(peer: PeerId): boolean {
    const verification = this.verifications.get(peer);
    if (verification?.advertised === undefined) {
      return false;
    }
    if (!verification.isVerified) {
      const own = this.options.readStoreMarks();
      if (own.length === 0) {
        return (
          verification.advertised.store === this.options.store ||
          this.isConfirmedBySeed(peer, verification.advertised)
        );
      }
      verification.isVerified = hasCommonMark(own, verification.advertised.marks);
    }
    return verification.isVerified;
  }

  /** Whether a peer may follow the same store, as far as is known. */
  isPossiblySameStore(peer: PeerId): boolean {
    return this.isTrusted(peer) || !this.differs(peer);
  }

  /** Whether a VM was recently found to follow another store. */
  isKnownForeign(peer: PeerId): boolean {
    const untilMs = this.foreignUntilMs.get(peer) ?? -Infinity;
    if (untilMs > this.options.clock.now()) {
      return true;
    }
    this.foreignUntilMs.delete(peer);
    return false;
  }

  /** Finds peers that shared no mark within the timeout, and reports each. */
  findForeignPeers(): PeerId[] {
    const now = this.options.clock.now();
    const foreignPeers = [...this.verifications.keys()].filter((peer) => this.isOverdue(peer, now));
    for (const peer of foreignPeers) {
      this.foreignUntilMs.set(peer, now + FOREIGN_TTL_MS);
      this.options.onForeignPeer(peer);
    }
    return foreignPeers;
  }

  private isOverdue(peer: PeerId, now: Millis): boolean {
    const verification = this.verifications.get(peer);
    if (verification === undefined) {
      return false;
    }
    if (this.isTrusted(peer) || !this.differs(peer)) {
      verification.differsSinceMs = undefined;
      return false;
    }
    verification.differsSinceMs ??= now;
    return now - verification.differsSinceMs >= VERIFY_TIMEOUT_MS;
  }

  private differs(peer: PeerId): boolean {
    const marks = this.verifications.get(peer)?.advertised?.marks ?? [];
    const own = this.options.readStoreMarks();
    return own.length > 0 && marks.length > 0 && !hasCommonMark(own, marks);
  }

  private isConfirmedBySeed(peer: PeerId, { marks }: AdvertisedStoreMarks): boolean {
    const { seeds } = this.options;
    return (
      seeds.includes(peer) &&
      seeds.some(
        (seed) =>
          seed !== peer && hasCommonMark(marks, this.verifications.get(seed)?.advertised?.marks),
      )
    );
  }
}

function hasCommonMark(some: readonly number[], others: readonly number[] = []): boolean {
  const known = new Set(some);
  return others.some((mark) => known.has(mark));
}
