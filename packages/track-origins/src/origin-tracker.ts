/**
 * Knows which software version began each stream. While a service has several versions, each VM
 * tells its peers of the streams that it begins, so that a caller can resume a stream at any VM.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import {
  softwareVersionOf,
  type Clock,
  type Millis,
  type OriginEvidence,
  type OriginLookup,
  type ServiceTarget,
  type StreamKey,
  type StreamOrigin,
  type Timers,
} from '@limelead/types';
import decideOrigin from './decide-origin.js';
import type { OriginStore } from './origin-store.js';
import OriginTable from './origin-table.js';
import VersionHistory from './version-history.js';

/** Time in which the links to peers open after the start of a VM. */
const LINKING_MS: Millis = 1_000;
/** Time after which a VM without links asks its peers once more in that time. */
const ASK_AGAIN_MS: Millis = 80;

/** Dependencies of `OriginTracker`. */
export interface OriginTrackerOptions {
  clock: Clock;
  timers: Timers;
  log: DecisionLog;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
  /** All known targets of a service, including those that leave. */
  listTargets(service: string): ServiceTarget[];
  /** Age of this VM's list of targets, in milliseconds. */
  readAgeMs(): Millis;
  /** Highest age of a list that counts as recent. */
  maxAgeMs(): Millis;
  /** Whether this VM is linked to most of the VMs that it knows. */
  isLinkedToMost(): boolean;
  /** Tells peers; returns the number of peers that were told. */
  publish(origins: StreamOrigin[]): number;
  /** Asks peers; `receive` is called once, with the answers that came in time. */
  ask(stream: StreamKey, receive: (answers: OriginEvidence[]) => void): () => void;
  /** Receives streams of services with several versions. */
  store?: OriginStore;
}

/** A search for the origin of a stream. */
export interface OriginQuery extends StreamKey {
  /** Id of the present request, for the log. */
  requestId: string;
}

/** The origins that one VM knows. */
export default class OriginTracker {
  private readonly table: OriginTable;
  private readonly history: VersionHistory;
  private readonly startedAtMs: Millis;
  /** Services of whose earlier versions peers have told. */
  private readonly caughtUp = new Set<string>();
  /** Services with several versions, whose streams peers were told of. */
  private readonly published = new Set<string>();

  constructor(private readonly options: OriginTrackerOptions) {
    const { clock, metrics, listTargets } = options;
    this.startedAtMs = clock.now();
    this.table = new OriginTable(clock);
    this.history = new VersionHistory(clock, (service) =>
      listTargets(service).map(softwareVersionOf),
    );
    metrics.gauge('limelead_known_stream_origins', () => this.table.size);
  }

  /** Records that this VM passed on the first piece of a stream. */
  record(origin: StreamOrigin): void {
    const isNews = this.table.record(origin, true);
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
      const isNews = this.table.record(origin, false);
      if (isNews && this.hasSeveralVersions(origin.service)) {
        this.options.store?.add(origin, false);
      }
    });
  }

  /** What this VM knows of a stream, for a peer that asks. */
  readEvidence(stream: StreamKey): OriginEvidence {
    return {
      softwareVersion: this.table.find(stream) ?? this.options.store?.find(stream),
      versions: this.history.list(stream.service),
      isFresh: this.options.readAgeMs() <= this.options.maxAgeMs(),
    };
  }

  /** The streams of this VM that a newly linked peer has to know. */
  listOwn(): StreamOrigin[] {
    return this.table.listOwn((service) => this.hasSeveralVersions(service));
  }

  /**
   * Finds the version that began a stream; asks peers only if this VM cannot tell.
   * @returns a function that cancels the search
   */
  find(query: OriginQuery, receive: (lookup: OriginLookup) => void): () => void {
    const own = this.readEvidence(query);
    const hasAllVersions = this.history.isComplete || this.caughtUp.has(query.service);
    const isOnlyVersion = own.versions.length === 1 && own.isFresh && hasAllVersions;
    if (own.softwareVersion !== undefined || isOnlyVersion) {
      receive(this.decide(query, [], 0));
      return () => undefined;
    }
    return this.askPeers(query, receive);
  }

  private askPeers(query: OriginQuery, receive: (lookup: OriginLookup) => void): () => void {
    const { clock, timers } = this.options;
    const askedAtMs = clock.now();
    const stops: (() => void)[] = [];
    const ask = (): void => {
      stops.push(
        this.options.ask(query, (answers) => {
          const mayLink = answers.length === 0 && clock.now() - this.startedAtMs < LINKING_MS;
          if (mayLink && clock.now() - askedAtMs < ASK_AGAIN_MS) {
            stops.push(timers.after(ASK_AGAIN_MS, ask));
          } else {
            this.learnVersions(query.service, answers);
            receive(this.decide(query, answers, clock.now() - askedAtMs));
          }
        }),
      );
    };
    ask();
    return () => stops.forEach((stop) => stop());
  }

  private onVersionSeen(service: string, softwareVersion: string): void {
    const isKnown = this.history.has(service, softwareVersion);
    this.history.record(service, { softwareVersion, agoMs: 0 });
    if (!isKnown && this.hasSeveralVersions(service)) {
      this.publishOwn(service, []);
    }
  }

  /** Versions that ended before this VM started are known to its peers. */
  private learnVersions(service: string, answers: OriginEvidence[]): void {
    const versions = answers.flatMap((answer) => answer.versions);
    versions.forEach((version) => this.history.record(service, version));
    if (answers.length > 0 && this.options.isLinkedToMost()) {
      this.caughtUp.add(service);
    }
  }

  private decide(
    { requestId, streamId, service }: OriginQuery,
    peers: OriginEvidence[],
    afterMs: Millis,
  ): OriginLookup {
    const { log, metrics, isLinkedToMost, readAgeMs } = this.options;
    const own = this.readEvidence({ streamId, service });
    const lookup = decideOrigin({ own, peers, isLinkedToMost: isLinkedToMost() });
    metrics.count('limelead_stream_origins_total', 1, { outcome: lookup.outcome });
    log.write('stream-origin', {
      ...{ requestId, streamId, service, ...lookup },
      source: own.softwareVersion === undefined && lookup.outcome === 'known' ? 'peer' : 'own',
      versions: own.versions.map(({ softwareVersion }) => softwareVersion),
      answers: peers.length,
      afterMs: Math.round(afterMs),
      knowledgeAgeMs: readAgeMs(),
    });
    return lookup;
  }

  private hasSeveralVersions(service: string): boolean {
    const hasSeveral = this.history.list(service).length > 1;
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
