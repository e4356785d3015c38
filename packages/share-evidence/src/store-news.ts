/**
 * News of the store, spread from the few VMs that follow it to all others. Each
 * piece of news says up to which revision the store was read and how long ago, so
 * that a VM knows how old its own knowledge may be. One whose news is late
 * follows the store itself until news come again.
 */
import { LARGE_ITEM_BYTES } from '@limelead/follow-store';
import type { Clock, Millis } from '@limelead/types';
import type { PeerId, PeerKnowledge, StoreKnowledge } from './types.js';

/**
 * Age of the last news from which on a VM follows the store itself. It has to
 * learn of a leaving target within the 2 s that the users' smallest sites allow,
 * and of one that a follower learned within a second.
 */
const LATE_NEWS_MS = 1_700;
/**
 * News that are newer than the known ones by less than this are not passed on.
 * Less than the 0.8 s of one follower's watch, or every second answer of the last
 * follower would be dropped and its news come late.
 */
const PASS_ON_MS = 700;

/** What one VM tells another about the store. */
export interface NewsOfStore {
  revision: number;
  /** Version of the configuration at that revision. */
  configuration: number;
  configurationBytes: number;
  /** Milliseconds since the store answered somebody with that revision. */
  ageMs: Millis;
}

interface PendingNews {
  from: PeerId;
  revision: number;
  confirmedAtMs: Millis;
}

/** What the news need. */
export interface StoreNewsOptions {
  clock: Clock;
  readKnowledge(): StoreKnowledge;
  listPeers(): PeerId[];
  tell(peers: PeerId[], news: NewsOfStore): void;
}

/** Takes news and passes them on. */
export default class StoreNews {
  private confirmedAtMs: Millis = -Infinity;
  private toldAtMs: Millis = -Infinity;
  private toldRevision = 0;
  /** News of a revision that this VM does not know yet. */
  private pending: PendingNews | undefined;
  /** A version of the configuration that this VM has to read from the store itself. */
  private wantedConfiguration = 0;

  constructor(private readonly options: StoreNewsOptions) {}

  /** When the store last answered somebody, as far as this VM heard; -Infinity for never. */
  get lastConfirmedAtMs(): Millis {
    return this.confirmedAtMs;
  }

  /** Whether others keep this VM's knowledge of the store current. */
  get isCurrent(): boolean {
    const { clock } = this.options;
    return clock.now() - this.confirmedAtMs < LATE_NEWS_MS && !this.wantsLargeConfiguration;
  }

  /** Whether this VM has to read a large configuration from the store itself. */
  get wantsLargeConfiguration(): boolean {
    return this.options.readKnowledge().configuration < this.wantedConfiguration;
  }

  /** The store answered this VM: what it knows is all that there is. */
  confirm(): void {
    this.confirmedAtMs = this.options.clock.now();
    this.tellOthers();
  }

  /** Takes news; this VM may have to catch up before it counts as current. */
  hear(from: PeerId, news: NewsOfStore): void {
    this.noteConfiguration(news);
    const confirmedAtMs = this.options.clock.now() - Math.max(0, news.ageMs);
    if (this.pending === undefined || news.revision >= this.pending.revision) {
      this.pending = { from, revision: news.revision, confirmedAtMs };
    }
    this.noteCaughtUp();
  }

  /** A peer knows that configuration. */
  noteConfiguration({ configuration, configurationBytes }: PeerKnowledge): void {
    const isNew = configuration > this.options.readKnowledge().configuration;
    if (isNew && configurationBytes >= LARGE_ITEM_BYTES) {
      this.wantedConfiguration = Math.max(this.wantedConfiguration, configuration);
    }
  }

  /** This VM may know by now what it had news of. */
  noteCaughtUp(): void {
    const { pending } = this;
    if (pending !== undefined && this.options.readKnowledge().revision >= pending.revision) {
      this.pending = undefined;
      this.confirmedAtMs = Math.max(this.confirmedAtMs, pending.confirmedAtMs);
      this.tellOthers(pending.from);
    }
  }

  private tellOthers(except?: PeerId): void {
    const { clock, listPeers, readKnowledge, tell } = this.options;
    const { revision, configuration, configurationBytes } = readKnowledge();
    const isNews = revision > this.toldRevision || this.confirmedAtMs >= this.toldAtMs + PASS_ON_MS;
    if (!isNews) {
      return;
    }
    this.toldRevision = revision;
    this.toldAtMs = this.confirmedAtMs;
    const ageMs = Math.round(clock.now() - this.confirmedAtMs);
    const peers = listPeers().filter((peer) => peer !== except);
    tell(peers, { revision, configuration, configurationBytes, ageMs });
  }
}
