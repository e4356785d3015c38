/**
 * Knows which software version began each stream. While a service has several versions, each VM
 * tells its peers of the streams that it begins, so that a caller can resume a stream at any VM.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import {
  softwareVersionOf,
  type Millis,
  type OriginEvidence,
  type OriginLookup,
  type SeenVersion,
  type ServiceTarget,
  type StreamKey,
  type StreamOrigin,
} from '@limelead/types';
import decideOrigin from './decide-origin.js';
import type { OriginStore } from './origin-store.js';
import OriginTable from './origin-table.js';
import OriginSearch, { type OriginSearchOptions } from './origin-search.js';
import VersionHistory, { VERSION_TTL_MS } from './version-history.js';

/** Dependencies of `OriginTracker`. */
export interface OriginTrackerOptions extends OriginSearchOptions {
  log: DecisionLog;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
  /** All known targets of a service, including those that leave. */
  listTargets(service: string): ServiceTarget[];
  /** Age of this VM's view of the store, in milliseconds. */
  readAgeMs(): Millis;
  /** Highest age of a view that counts as recent. */
  maxAgeMs(): Millis;
  /** Whether this VM is linked to most of the VMs that it knows. */
  isLinkedToMost(): boolean;
  /** Tells peers; returns the number of peers that were told. */
  publish(origins: StreamOrigin[]): number;
  /** Receives streams of services with several versions. */
  store?: OriginStore;
}

/** A search for the origin of a stream. */
export interface OriginQuery extends StreamKey {
  /** Id of the present request, for the log. */
  requestId: string;
}

/** What a search brought. */
interface SearchResult {
  /** Of the peers that answered. */
  answers: OriginEvidence[];
  /** All versions that streams may have begun at; undefined if the store did not name them. */
  confirmed?: readonly string[];
  afterMs: Millis;
}

/** The origins that one VM knows. */
export default class OriginTracker {
  private readonly table: OriginTable;
  /** Versions of targets, which streams may begin at soon. */
  private readonly history: VersionHistory;
  /** Versions of the streams that were recorded. */
  private readonly begun: VersionHistory;
  private readonly startedAtMs: Millis;
  /** Services with several versions, whose streams peers were told of. */
  private readonly published = new Set<string>();

  constructor(private readonly options: OriginTrackerOptions) {
    const { clock, metrics, listTargets } = options;
    this.startedAtMs = clock.now();
    this.table = new OriginTable(clock);
    this.history = new VersionHistory(clock, (service) =>
      listTargets(service).map(softwareVersionOf),
    );
    this.begun = new VersionHistory(clock, () => []);
    metrics.gauge('limelead_known_stream_origins', () => this.table.size);
  }

  /** Records that this VM passed on the first piece of a stream. */
  record(origin: StreamOrigin): void {
    const isNews = this.table.record(origin, true);
    this.begun.record(origin.service, { softwareVersion: origin.softwareVersion, agoMs: 0 });
    if (this.hasSeveralVersions(origin.service)) {
      if (isNews && this.published.has(origin.service)) {
        this.options.store?.add(origin, true);
      }
      this.publishOwn(origin.service, [origin]);
    }
  }

  /** Forgets a stream that ended well, which nobody resumes. */
  forget(streamId: string): void {
    this.table.forget(streamId);
    this.options.store?.forget(streamId);
  }

  /** Handles a new target: its version may be the second one of its service. */
  onTargetJoined(target: ServiceTarget): void {
    this.onVersionSeen(target.service, softwareVersionOf(target));
  }

  /** Handles the end of a target. */
  onTargetGone(target: ServiceTarget): void {
    const softwareVersion = softwareVersionOf(target);
    this.history.record(target.service, { softwareVersion, agoMs: 0 });
  }

  /** Handles what a peer told. */
  onPeerOrigins(origins: readonly StreamOrigin[]): void {
    origins.forEach((origin) => {
      this.onVersionSeen(origin.service, origin.softwareVersion);
      this.begun.record(origin.service, { softwareVersion: origin.softwareVersion, agoMs: 0 });
      const isNews = this.table.record(origin, false);
      if (isNews && this.hasSeveralVersions(origin.service)) {
        this.options.store?.add(origin, false);
      }
    });
  }

  /** What this VM knows of a stream, for a peer that asks. */
  readEvidence(stream: StreamKey): OriginEvidence {
    const { readAgeMs, recorded } = this.options;
    const hasRecord = recorded.list(stream.service) !== undefined;
    return {
      softwareVersion: this.table.isContradicted(stream)
        ? undefined
        : (this.table.find(stream) ?? this.options.store?.find(stream)),
      versions: this.listVersions(stream.service),
      completeAgoMs: hasRecord ? readAgeMs() : undefined,
    };
  }

  /** The streams of this VM that a newly linked peer has to know. */
  listOwn(): StreamOrigin[] {
    return this.table.listOwn((service) => this.hasSeveralVersions(service));
  }

  /**
   * Finds the version that began a stream. With one version the store is asked whether there was
   * another, and peers only if it does not answer.
   * @returns a function that cancels the search
   */
  find(query: OriginQuery, receive: (lookup: OriginLookup) => void): () => void {
    const { service } = query;
    const search = new OriginSearch(this.options, this.startedAtMs);
    const decide = (result: Omit<SearchResult, 'afterMs'>): void => {
      result.answers.forEach(({ versions }) => this.history.recordAll(service, versions));
      receive(this.decide(query, { ...result, afterMs: search.durationMs }));
    };
    const askPeers = (): void => search.askPeers(query, (answers) => decide({ answers }));
    if (this.readEvidence(query).softwareVersion !== undefined) {
      decide({ answers: [] });
    } else if ((this.options.recorded.list(service) ?? []).length > 1) {
      askPeers();
    } else {
      search.readRecord(service, (recorded) => {
        const begun = this.begun.list(service).map(({ softwareVersion }) => softwareVersion);
        const confirmed = recorded && [...new Set([...recorded, ...begun])];
        if (confirmed?.length === 1) {
          decide({ answers: [], confirmed });
        } else {
          askPeers();
        }
      });
    }
    return () => search.cancel();
  }

  private onVersionSeen(service: string, softwareVersion: string): void {
    const isKnown = this.history.has(service, softwareVersion);
    this.history.record(service, { softwareVersion, agoMs: 0 });
    if (!isKnown && this.hasSeveralVersions(service)) {
      this.publishOwn(service, []);
    }
  }

  private decide(
    { requestId, streamId, service }: OriginQuery,
    { answers, confirmed, afterMs }: SearchResult,
  ): OriginLookup {
    const { log, metrics, isLinkedToMost, readAgeMs, maxAgeMs } = this.options;
    const evidence = this.readEvidence({ streamId, service });
    const isConfirmed = confirmed !== undefined;
    const own = isConfirmed ? { ...evidence, versions: confirmed.map(toSeenNow) } : evidence;
    const lookup = decideOrigin({
      ...{ own, peers: answers, isConfirmed },
      ...{ isLinkedToMost: isLinkedToMost(), maxAgeMs: maxAgeMs() },
    });
    metrics.count('limelead_stream_origins_total', 1, { outcome: lookup.outcome });
    log.write('stream-origin', {
      ...{ requestId, streamId, service, ...lookup },
      source: this.findSource({ streamId, service }, lookup),
      versions: own.versions.map(({ softwareVersion }) => softwareVersion),
      ...{ isConfirmed, completeAgoMs: own.completeAgoMs },
      answers: answers.length,
      afterMs: Math.round(afterMs),
      knowledgeAgeMs: readAgeMs(),
    });
    return lookup;
  }

  /** Where the version of a lookup is from, for the log. */
  private findSource(stream: StreamKey, { outcome }: OriginLookup): 'own' | 'store' | 'peer' {
    if (outcome !== 'known' || this.table.find(stream) !== undefined) {
      return 'own';
    }
    return this.options.store?.find(stream) === undefined ? 'peer' : 'store';
  }

  /** Versions of targets that this VM or a peer saw, and recorded ones, which do not count anew. */
  private listVersions(service: string): SeenVersion[] {
    const seen = this.history.list(service);
    const recorded = this.options.recorded.list(service) ?? [];
    const unseen = recorded.filter(
      (version) => !seen.some(({ softwareVersion }) => softwareVersion === version),
    );
    return [
      ...seen,
      ...unseen.map((softwareVersion) => ({ softwareVersion, agoMs: VERSION_TTL_MS - 1 })),
    ];
  }

  private hasSeveralVersions(service: string): boolean {
    const hasSeveral = this.listVersions(service).length > 1;
    if (!hasSeveral) {
      this.published.delete(service);
    }
    return hasSeveral;
  }

  private storeKnown(service: string): void {
    this.table
      .list((other) => other === service)
      .forEach(({ origin, isOwn }) => this.options.store?.add(origin, isOwn));
  }

  /** Tells peers of new streams, and first of all others if the service had one version so far. */
  private publishOwn(service: string, origins: StreamOrigin[]): void {
    const isFirst = !this.published.has(service);
    this.published.add(service);
    if (isFirst) {
      this.storeKnown(service);
    }
    const told = isFirst ? this.table.listOwn((other) => other === service) : origins;
    if (told.length > 0) {
      const peers = this.options.publish(told);
      this.options.metrics.count('limelead_stream_origins_told_total', told.length * peers);
    }
  }
}

function toSeenNow(softwareVersion: string): SeenVersion {
  return { softwareVersion, agoMs: 0 };
}
