/**
 * This VM's view of the store, updated by the store itself and by peers. A configuration is
 * applied only if it is newer than the one in force, and a peer's update only if it is newer
 * than the view.
 */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { StoreChange, StoreChanges, StoreItem, StoreList } from '@limelead/follow-store';
import type { Quarantine } from '@limelead/quarantine-requests';
import type { RecordedVersions } from '@limelead/record-versions';
import type { StoreUpdate } from '@limelead/share-evidence';
import { StoredOrigins } from '@limelead/store-origins';
import type { AgreedStep, StoredOrder } from '@limelead/run-roll-outs';
import compileRoutes, { type RouteTable } from '@limelead/route-requests';
import type { TargetChange, TargetDirectory } from '@limelead/track-service-targets';
import type { Clock, Millis, ServiceTarget, ServingConfiguration, Timers } from '@limelead/types';
import {
  getDecodedTarget,
  type DecodedStoreItem,
  type StoreDialect,
} from './decoded-store-item.js';
import LapsedTargets from './lapsed-targets.js';
import decodeOwnItem from './decode-own-item.js';
import { isStreamsKey, versionsKeyOf } from './store-keys.js';
import RemovalHistory from './removal-history.js';
import StoreFingerprints, { fingerprintTarget } from './store-fingerprints.js';

/** Source of an update: the store, or the address of a peer. */
type UpdateSource = string;

const STORE: UpdateSource = 'store';

interface StoreViewItem {
  item: StoreItem;
  decoded: DecodedStoreItem;
  /** Set for targets; see `StoreFingerprints`. */
  fingerprint?: number;
}

/** Options of `StoreView`. */
export interface StoreViewOptions {
  clock: Clock;
  timers: Timers;
  log: DecisionLog;
  /** Time within which a leaving target must stop receiving requests. */
  leavingTargetMs: Millis;
  directory: TargetDirectory;
  dialect: StoreDialect;
  /** Time since the store last confirmed the view. */
  readAgeMs(): Millis;
  /** Called with each configuration that comes into force, compiled. */
  onConfiguration(table: RouteTable): void;
  /** Called when the view is dropped because it belongs to another store. */
  onReset(): void;
  /** Called after each change of the view, except of the origins of streams. */
  onChange(): void;
}

/** Holds the configuration in force and applies changes of targets to the directory. */
export default class StoreView {
  readonly storedOrigins: StoredOrigins;
  private routeTable: RouteTable | undefined;
  /** Known items by key, except those of kind "other". */
  private readonly items = new Map<string, StoreViewItem>();
  private removals = new RemovalHistory();
  /** Revisions of unreadable items by key; their last valid content stays in force. */
  private readonly unreadableRevisions = new Map<string, number>();
  private readonly logUnreadable: RateLimitedLog;
  private readonly fingerprints = new StoreFingerprints();
  /** Whether the store itself has sent its list; until then all items are from peers. */
  private hasStoreList = false;
  private currentRevision = 0;
  private configurationChangedAtMs: Millis = 0;
  private currentSource: UpdateSource | undefined;
  private currentConfigurationBytes = 0;
  private readonly lapsedTargets: LapsedTargets;

  constructor(private readonly options: StoreViewOptions) {
    const { clock, timers, leavingTargetMs, directory, log } = options;
    this.storedOrigins = new StoredOrigins(clock);
    this.logUnreadable = createRateLimitedLog(log, clock, 'store-item-unreadable');
    this.lapsedTargets = new LapsedTargets({
      clock,
      timers,
      leavingTargetMs,
      isLeaving: (id) => directory.get(id)?.target.leaving === true,
      onRemoved: (id) => {
        log.write('lapsed-target-gone', { target: id });
        directory.apply([{ kind: 'gone', id }]);
      },
    });
  }

  /**
   * Handles the loss of the store.
   * @param lastAnswerAtMs the store's last answer to any VM, if known
   */
  onStoreLost(lastAnswerAtMs?: Millis): void {
    this.lapsedTargets.onStoreLost(lastAnswerAtMs);
  }

  /** Fingerprints that identify peers of the same store; none before the store's first list. */
  listFingerprints(): readonly number[] {
    if (!this.hasStoreList) {
      return [];
    }
    return this.fingerprints.list(
      [...this.items.values()].flatMap(({ fingerprint }) => fingerprint ?? []),
    );
  }

  /**
   * Drops the whole view, because it is of another store, or of this store before it was reset.
   * Only the store's own answers cause this; its revision never decreases.
   * @param revision the store's current revision
   */
  reset(reason: string, revision: number): void {
    this.options.log.write('store-knowledge-dropped', {
      reason,
      known: this.currentRevision,
      revision,
      configuration: this.routeTable?.version,
      source: this.currentSource,
    });
    this.items.clear();
    this.storedOrigins.clear();
    this.unreadableRevisions.clear();
    this.removals = new RemovalHistory();
    this.fingerprints.reset();
    this.hasStoreList = false;
    this.currentRevision = 0;
    this.routeTable = undefined;
    this.currentSource = undefined;
    this.currentConfigurationBytes = 0;
    this.options.onReset();
  }

  /** Handles the end of an outage of the store. */
  onStoreRegained(): void {
    this.lapsedTargets.onStoreRegained();
  }

  /** The compiled configuration in force. */
  get routes(): RouteTable | undefined {
    return this.routeTable;
  }

  /** Source of the configuration in force: "store", or the address of a peer. */
  get configurationSource(): string | undefined {
    return this.currentSource;
  }

  /** Current roll-out orders, each with the revision that wrote it. */
  listRollOutOrders(): StoredOrder[] {
    return [...this.items.values()].flatMap(({ item, decoded }) =>
      decoded.kind === 'roll-out' ? [{ order: decoded.order, revision: item.revision }] : [],
    );
  }

  /** Agreed steps of roll-outs by service. */
  listRollOutSteps(): ReadonlyMap<string, AgreedStep> {
    return new Map(
      [...this.items.values()].flatMap(({ decoded }): [string, AgreedStep][] =>
        decoded.kind === 'roll-out-step' ? [[decoded.service, decoded.step]] : [],
      ),
    );
  }

  /** Quarantined requests by identity. */
  listQuarantines(): ReadonlyMap<string, Quarantine> {
    return new Map(
      [...this.items.values()].flatMap(({ decoded }): [string, Quarantine][] =>
        decoded.kind === 'quarantine' ? [[decoded.identity, decoded.quarantine]] : [],
      ),
    );
  }

  /** The recorded software versions of a service, with the revision that wrote them. */
  readVersions(service: string): RecordedVersions | undefined {
    const known = this.items.get(versionsKeyOf(service));
    return known?.decoded.kind === 'versions'
      ? { versions: known.decoded.versions, revision: known.item.revision }
      : undefined;
  }

  /** Whether the view holds an item of that key. */
  has(key: string): boolean {
    return this.items.has(key);
  }

  /** Creates the update from a revision to the current one, for peers that don't read the store. */
  createUpdate(since: number): StoreUpdate {
    const items = [...this.items.values()].map(({ item }) => item);
    const gone = this.removals.listSince(since);
    return {
      items: items.filter((item) => item.revision > since),
      // A removed key may have been written again.
      gone: gone?.filter((key) => !this.items.has(key)) ?? [],
      present: gone === undefined ? items.map(({ key }) => key) : undefined,
      revision: this.currentRevision,
    };
  }

  /** Store revision up to which the view is complete; 0 before the first list. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Size of the newest configuration; 0 for none. */
  get configurationBytes(): number {
    return this.currentConfigurationBytes;
  }

  /** Whether the view suffices to serve requests. */
  get isComplete(): boolean {
    return this.routeTable !== undefined && this.currentRevision > 0;
  }

  /**
   * Applies a complete list of the store. Of a list that is older than the view, only items that
   * were written after the view's revision are applied; the others would return to what was.
   */
  applyList({ items, revision }: StoreList): void {
    if (items.some((item) => this.contradictsList(item, revision))) {
      this.reset('contradicts-list', revision);
    }
    const isOlder = revision < this.currentRevision && this.isOfSameStore(items);
    const since = isOlder ? this.currentRevision : -Infinity;
    if (!isOlder) {
      this.removeExcept(new Set(items.map(({ key }) => key)));
    }
    items.filter((item) => item.revision > since).forEach((item) => this.applyItem(item, STORE));
    if (!this.hasStoreList) {
      this.hasStoreList = true;
      this.fingerprintConfigurations(items);
    }
    if (!isOlder) {
      this.removals.reset(revision);
    }
    this.completeList(revision);
  }

  /** Whether the view is known to be of the store that sent these items. */
  private isOfSameStore(items: StoreItem[]): boolean {
    return (
      this.hasStoreList ||
      items.some((item) => {
        const known = this.items.get(item.key)?.item;
        return known?.revision === item.revision && known.value.equals(item.value);
      })
    );
  }

  /** Only items listed by the store identify it; items from peers may be of another store. */
  private fingerprintConfigurations(items: StoreItem[]): void {
    this.fingerprints.reset();
    items
      .filter(({ key }) => this.items.get(key)?.decoded.kind === 'configuration')
      .forEach((item) => this.fingerprints.addConfiguration(item));
  }

  /** Whether the known version of an item can't be from the store that sent this list. */
  private contradictsList(item: StoreItem, listRevision: number): boolean {
    const known = this.items.get(item.key);
    if (known === undefined || known.item.revision > listRevision) {
      return false;
    }
    const isSame = known.item.revision === item.revision;
    return known.item.revision > item.revision || (isSame && !known.item.value.equals(item.value));
  }

  /** Applies a peer's update; ignores it if it is not newer than the view. */
  applyPeerUpdate({ items, gone, present, revision }: StoreUpdate, peer: string): void {
    if (revision <= this.currentRevision) {
      return;
    }
    const from = this.currentRevision;
    this.options.log.write('peer-told-items', { peer, from, revision, items: items.length });
    if (present === undefined) {
      const puts = [...items].sort((a, b) => a.revision - b.revision);
      const changes = [
        ...gone.map((key): StoreChange => ({ kind: 'gone', key })),
        ...puts.map((item): StoreChange => ({ kind: 'put', item })),
      ];
      this.applyChanges({ changes, revision }, peer);
      return;
    }
    this.removeExcept(new Set(present));
    items.forEach((item) => this.applyItem(item, peer));
    this.removals.reset(revision);
    this.completeList(revision);
  }

  /** Completes a full update: the items of the view are now all items of the store. */
  private completeList(revision: number): void {
    this.currentRevision = Math.max(revision, this.currentRevision);
    const { directory, onChange } = this.options;
    directory.apply(this.lapsedTargets.filter(directory.listChanges(this.listTargets())));
    onChange();
  }

  /** Lists the targets; of several at one address the one written last. */
  private listTargets(): ServiceTarget[] {
    const inOrder = [...this.items.values()].sort((a, b) => a.item.revision - b.item.revision);
    const byAddress = new Map<string, ServiceTarget>();
    for (const { decoded } of inOrder) {
      const target = getDecodedTarget(decoded);
      if (target !== undefined) {
        byAddress.set(`${target.host}:${target.port}`, target);
      }
    }
    return [...byAddress.values()];
  }

  private removeExcept(keys: ReadonlySet<string>): void {
    for (const key of [...this.items.keys()]) {
      if (!keys.has(key)) {
        this.removeItem(key);
      }
    }
  }

  private removeItem(key: string): void {
    this.items.delete(key);
    if (isStreamsKey(key)) {
      this.storedOrigins.remove(key);
    }
  }

  /** Applies changes; ignores them if peers have told newer ones since they were requested. */
  applyChanges({ changes, revision }: StoreChanges, source = STORE): void {
    if (revision < this.currentRevision) {
      return;
    }
    const targetChanges = changes.flatMap((change) =>
      this.toTargetChange(change, revision, source),
    );
    // Set first: applying targets serves queued requests, which rely on the new revision.
    this.currentRevision = Math.max(revision, this.currentRevision);
    this.options.directory.apply(this.lapsedTargets.filter(targetChanges));
    if (changes.some((change) => !isStreamsKey(keyOf(change)))) {
      this.options.onChange();
    }
  }

  private toTargetChange(
    change: StoreChange,
    revision: number,
    source: UpdateSource,
  ): TargetChange[] {
    const key = keyOf(change);
    const before = this.getTarget(key);
    if (change.kind === 'gone') {
      this.removeItem(key);
      this.unreadableRevisions.delete(key);
      this.removals.record(key, revision);
      const id = before?.id ?? this.options.dialect.parseTargetId(key);
      return id === undefined ? [] : [{ kind: 'gone', id }];
    }
    const target = getDecodedTarget(this.applyItem(change.item, source));
    if (target === undefined) {
      return [];
    }
    // A restarted target keeps its key and gets a new id.
    const isOther = before !== undefined && before.id !== target.id;
    const put: TargetChange = { kind: 'put', target };
    return isOther ? [{ kind: 'gone', id: before.id }, put] : [put];
  }

  private getTarget(key: string): ServiceTarget | undefined {
    const known = this.items.get(key);
    return known && getDecodedTarget(known.decoded);
  }

  private applyItem(item: StoreItem, source: UpdateSource): DecodedStoreItem {
    const known = this.items.get(item.key);
    if (known !== undefined && known.item.revision >= item.revision) {
      return known.decoded;
    }
    const decoded = decodeOwnItem(item) ?? this.options.dialect.decode(item);
    if (decoded.kind === 'unreadable') {
      return this.applyUnreadable(item, decoded.reason);
    }
    this.unreadableRevisions.delete(item.key);
    if (decoded.kind !== 'other') {
      this.items.set(item.key, {
        item,
        decoded,
        fingerprint: fingerprintOf(item, decoded, known),
      });
    }
    if (decoded.kind === 'streams') {
      this.storedOrigins.put(item.key, decoded.origins);
    }
    if (decoded.kind === 'configuration') {
      this.fingerprints.addConfiguration(item);
      this.currentConfigurationBytes = item.value.length;
      this.applyConfiguration(decoded.configuration, item.revision, source);
    }
    return decoded;
  }

  /** Keeps a target as leaving; other items keep their last valid content. Logs once per revision. */
  private applyUnreadable(item: StoreItem, reason: string): DecodedStoreItem {
    const { key, revision } = item;
    if ((this.unreadableRevisions.get(key) ?? 0) < revision) {
      this.unreadableRevisions.set(key, revision);
      this.logUnreadable({ key, revision, reason });
    }
    const before = this.getTarget(key);
    const previousTarget = before && { ...before, leaving: true };
    const decoded: DecodedStoreItem = { kind: 'unreadable', reason, previousTarget };
    if (this.options.dialect.parseTargetId(key) !== undefined) {
      this.items.set(key, { item, decoded });
    }
    return decoded;
  }

  private applyConfiguration(
    configuration: ServingConfiguration,
    revision: number,
    source: UpdateSource,
  ): void {
    const { clock, log, readAgeMs } = this.options;
    const previous = this.routeTable?.version;
    // The store's first configuration replaces one from peers even if its version is lower.
    const isFirstOwn = source === STORE && !this.hasStoreList;
    if (previous !== undefined && configuration.version <= previous && !isFirstOwn) {
      return;
    }
    const now = clock.now();
    log.write('configuration-in-force', {
      version: configuration.version,
      previous,
      revision,
      source,
      routes: configuration.routes.length,
      knowledgeAgeMs: readAgeMs(),
      previousAgeMs:
        previous === undefined ? undefined : Math.round(now - this.configurationChangedAtMs),
    });
    this.configurationChangedAtMs = now;
    this.currentSource = source;
    this.routeTable = compileRoutes(configuration);
    this.options.onConfiguration(this.routeTable);
  }
}

/** The fingerprint of a target; reused while its creation revision and address stay the same. */
function fingerprintOf(
  item: StoreItem,
  decoded: DecodedStoreItem,
  before?: StoreViewItem,
): number | undefined {
  if (decoded.kind !== 'target') {
    return undefined;
  }
  const { host, port } = decoded.target;
  const known = before?.item.made === item.made ? before : undefined;
  const previous = known && getDecodedTarget(known.decoded);
  const isSame = previous?.host === host && previous.port === port;
  return (isSame ? known?.fingerprint : undefined) ?? fingerprintTarget(item, decoded.target);
}

function keyOf(change: StoreChange): string {
  return change.kind === 'gone' ? change.key : change.item.key;
}
