/**
 * What this VM knows of the store, whichever way it came: the configuration in
 * force and the targets. A configuration is taken only if it is newer than the
 * one in force, and a peer's list only if it is newer than what is known.
 */
import { createLineLimit, type DecisionLog, type LimitedLines } from '@limelead/decision-log';
import type { StoreChange, StoreChanges, StoreItem, StoreList } from '@limelead/follow-store';
import type { Quarantine } from '@limelead/quarantine-requests';
import type { StoreUpdate } from '@limelead/share-evidence';
import {
  readStep,
  STEP_KEYS,
  type AgreedStep,
  type RollOutState,
  type StateItem,
  type StandingOrder,
} from '@limelead/run-roll-outs';
import compileRoutes, { type RouteTable } from '@limelead/route-requests';
import type { TargetChange, TargetDirectory } from '@limelead/track-service-targets';
import type {
  Clock,
  Millis,
  RollOutOrder,
  ServiceTarget,
  ServingConfiguration,
  Timers,
} from '@limelead/types';
import LapsedTargets from './lapsed-targets.js';
import { DUTY_KEY, QUARANTINE_KEY_PREFIX, ROLL_OUT_DUTY_KEY } from './store-keys.js';
import { decodeQuarantine } from './quarantine-item.js';
import RemovalHistory from './removal-history.js';
import StoreFingerprints, { fingerprintTarget } from './store-fingerprints.js';

/** Where knowledge came from: the store itself, or the address of a peer that told it. */
type UpdateSource = string;

const STORE: UpdateSource = 'store';

/** What an item of the store means. */
export type DecodedStoreItem =
  | { kind: 'configuration'; configuration: ServingConfiguration }
  | { kind: 'target'; target: ServiceTarget }
  | { kind: 'roll-out'; order: RollOutOrder }
  /** Written by this system: how far a roll-out is. */
  | { kind: 'roll-out-step'; service: string; step: AgreedStep }
  /** Written by this system: a request of that identity is kept from targets. */
  | { kind: 'quarantine'; identity: string; quarantine: Quarantine }
  /** Written by this system: somebody holds the duties. */
  | { kind: 'duty' }
  /**
   * It should be one of these, and does not hold. A target that the item named before is left
   * there as one that leaves: nothing new goes to it until its own writer is back.
   */
  | { kind: 'unreadable'; reason: string; previousTarget?: ServiceTarget }
  | { kind: 'other' };

/** Reads items of the store in the platform's words. */
export interface StoreDialect {
  decode(item: StoreItem): DecodedStoreItem;
  /** The id of the target whose item has that key; undefined for other items. */
  parseTargetId(key: string): string | undefined;
  /** The item by which the operator is told how far a roll-out is. */
  composeRollOutState(service: string, state: RollOutState, version: string): StateItem;
}

const DUTY: DecodedStoreItem = { kind: 'duty' };

interface StoreViewItem {
  item: StoreItem;
  decoded: DecodedStoreItem;
  /** Mark of a target; see `StoreMarks`. */
  fingerprint?: number;
}

/** What knowledge needs. */
export interface StoreViewOptions {
  clock: Clock;
  timers: Timers;
  log: DecisionLog;
  /** Time after which a target that leaves may get no work any more, in milliseconds. */
  leavingTargetMs: Millis;
  directory: TargetDirectory;
  dialect: StoreDialect;
  /** Time since what is known was last confirmed by the store, in milliseconds. */
  readAgeMs(): Millis;
  /** Called with each configuration that comes into force. */
  onConfiguration(table: RouteTable): void;
  /** Called when all that was known turned out to be of another store. */
  onReset(): void;
  /** Called after each change of what is known. */
  onChange(): void;
}

/** Holds the configuration in force, and passes changes of targets on. */
export default class StoreView {
  private routeTable: RouteTable | undefined;
  /** Items that mean something, by key. */
  private readonly items = new Map<string, StoreViewItem>();
  private removals = new RemovalHistory();
  /** Revisions of items that do not hold and left what was known before in force, by key. */
  private readonly unreadableRevisions = new Map<string, number>();
  private readonly logUnreadable: LimitedLines;
  private readonly fingerprints = new StoreFingerprints();
  /** Whether the store itself gave its list; until then peers' word is all that there is. */
  private hasStoreList = false;
  private currentRevision = 0;
  private configurationChangedAtMs: Millis = 0;
  private currentSource: UpdateSource | undefined;
  private currentConfigurationBytes = 0;
  private readonly lapsedTargets: LapsedTargets;

  constructor(private readonly options: StoreViewOptions) {
    const { clock, timers, leavingTargetMs, directory, log } = options;
    this.logUnreadable = createLineLimit(log, clock, 'store-item-unreadable');
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
   * The store stopped answering this VM.
   * @param lastAnswerAtMs when it last answered any VM, where that is known to be earlier
   */
  onStoreLost(lastAnswerAtMs?: Millis): void {
    this.lapsedTargets.onStoreLost(lastAnswerAtMs);
  }

  /** Marks by which peers of the same store are told from others; none before the store answered. */
  listFingerprints(): readonly number[] {
    if (!this.hasStoreList) {
      return [];
    }
    return this.fingerprints.list(
      [...this.items.values()].flatMap(({ fingerprint }) => fingerprint ?? []),
    );
  }

  /**
   * Drops all that is known: it was of another store, or of this one before it began anew.
   * The store decides, since it never goes back, and what peers say may be of anywhere.
   * @param revision up to which the store itself has come
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

  /** The store answers again. */
  onStoreRegained(): void {
    this.lapsedTargets.onStoreRegained();
  }

  /** The compiled configuration in force. */
  get routes(): RouteTable | undefined {
    return this.routeTable;
  }

  /** Who told the configuration in force: "store", or the address of a peer. */
  get configurationSource(): string | undefined {
    return this.currentSource;
  }

  /** Orders of roll-outs that stand now, with the revision that wrote each. */
  listRollOutOrders(): StandingOrder[] {
    return [...this.items.values()].flatMap(({ item, decoded }) =>
      decoded.kind === 'roll-out' ? [{ order: decoded.order, revision: item.revision }] : [],
    );
  }

  /** Steps of roll-outs that all VMs agree on, by service. */
  listRollOutSteps(): ReadonlyMap<string, AgreedStep> {
    return new Map(
      [...this.items.values()].flatMap(({ decoded }): [string, AgreedStep][] =>
        decoded.kind === 'roll-out-step' ? [[decoded.service, decoded.step]] : [],
      ),
    );
  }

  /** Requests that are kept from targets, by their identities. */
  listQuarantines(): ReadonlyMap<string, Quarantine> {
    return new Map(
      [...this.items.values()].flatMap(({ decoded }): [string, Quarantine][] =>
        decoded.kind === 'quarantine' ? [[decoded.identity, decoded.quarantine]] : [],
      ),
    );
  }

  /** Whether an item that means something is there. */
  has(key: string): boolean {
    return this.items.has(key);
  }

  /** What is known beyond a revision, for peers that do not ask the store themselves. */
  createUpdate(since: number): StoreUpdate {
    const items = [...this.items.values()].map(({ item }) => item);
    const gone = this.removals.listSince(since);
    return {
      items: items.filter((item) => item.revision > since),
      // A key that came back is no longer gone.
      gone: gone?.filter((key) => !this.items.has(key)) ?? [],
      present: gone === undefined ? items.map(({ key }) => key) : undefined,
      revision: this.currentRevision,
    };
  }

  /** Revision of the store up to which everything is known; 0 before the first list. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Bytes of the newest configuration; 0 for none. */
  get configurationBytes(): number {
    return this.currentConfigurationBytes;
  }

  /** Whether requests can be served. */
  get isComplete(): boolean {
    return this.routeTable !== undefined && this.currentRevision > 0;
  }

  /** Takes a complete list of the store. */
  applyList({ items, revision }: StoreList): void {
    if (items.some((item) => this.contradictsList(item, revision))) {
      this.reset('contradicts-list', revision);
    }
    this.removeExcept(new Set(items.map(({ key }) => key)));
    items.forEach((item) => this.applyItem(item, STORE));
    if (!this.hasStoreList) {
      this.hasStoreList = true;
      this.fingerprintConfigurations(items);
    }
    this.completeList(revision);
  }

  /** Only what the store listed proves anything; what peers told before it may be of anywhere. */
  private fingerprintConfigurations(items: StoreItem[]): void {
    this.fingerprints.reset();
    items
      .filter(({ key }) => this.items.get(key)?.decoded.kind === 'configuration')
      .forEach((item) => this.fingerprints.addConfiguration(item));
  }

  /** Whether what is known of an item can't be of the store that listed it so. */
  private contradictsList(item: StoreItem, listRevision: number): boolean {
    const known = this.items.get(item.key);
    if (known === undefined || known.item.revision > listRevision) {
      return false;
    }
    const isSame = known.item.revision === item.revision;
    return known.item.revision > item.revision || (isSame && !known.item.value.equals(item.value));
  }

  /** Takes what a peer knows beyond this VM; nothing where this VM learned as much meanwhile. */
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
    this.completeList(revision);
  }

  /** All that is known now is all that there is. */
  private completeList(revision: number): void {
    this.currentRevision = Math.max(revision, this.currentRevision);
    this.removals.reset(revision);
    const { directory, onChange } = this.options;
    directory.apply(this.lapsedTargets.filter(directory.compare(this.listTargets())));
    onChange();
  }

  /** Of two targets at one address the one that was written later stands there. */
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
        this.items.delete(key);
      }
    }
  }

  /** Takes changes that followed a list. */
  applyChanges({ changes, revision }: StoreChanges, source = STORE): void {
    const targetChanges = changes.flatMap((change) =>
      this.toTargetChange(change, revision, source),
    );
    // Requests that wait are served as targets come; by then all that came with them counts.
    this.currentRevision = Math.max(revision, this.currentRevision);
    this.options.directory.apply(this.lapsedTargets.filter(targetChanges));
    if (changes.length > 0) {
      this.options.onChange();
    }
  }

  private toTargetChange(
    change: StoreChange,
    revision: number,
    source: UpdateSource,
  ): TargetChange[] {
    const key = change.kind === 'gone' ? change.key : change.item.key;
    const before = this.getTarget(key);
    if (change.kind === 'gone') {
      this.items.delete(key);
      this.unreadableRevisions.delete(key);
      this.removals.record(key, revision);
      const id = before?.id ?? this.options.dialect.parseTargetId(key);
      return id === undefined ? [] : [{ kind: 'gone', id }];
    }
    const target = getDecodedTarget(this.applyItem(change.item, source));
    if (target === undefined) {
      return [];
    }
    // Under its name a target may begin again, and then knows nothing of before.
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
    const fact = decodeOwnItem(item) ?? this.options.dialect.decode(item);
    if (fact.kind === 'unreadable') {
      return this.applyUnreadable(item, fact.reason);
    }
    this.unreadableRevisions.delete(item.key);
    if (fact.kind !== 'other') {
      this.items.set(item.key, {
        item,
        decoded: fact,
        fingerprint: fingerprintOf(item, fact, known),
      });
    }
    if (fact.kind === 'configuration') {
      this.fingerprints.addConfiguration(item);
      this.currentConfigurationBytes = item.value.length;
      this.applyConfiguration(fact.configuration, item.revision, source);
    }
    return fact;
  }

  /** A target is left; of anything else the last one that held stays. One line for each revision. */
  private applyUnreadable(item: StoreItem, reason: string): DecodedStoreItem {
    const { key, revision } = item;
    if ((this.unreadableRevisions.get(key) ?? 0) < revision) {
      this.unreadableRevisions.set(key, revision);
      this.logUnreadable({ key, revision, reason });
    }
    const before = this.getTarget(key);
    const left = before && { ...before, leaving: true };
    const fact: DecodedStoreItem = { kind: 'unreadable', reason, previousTarget: left };
    if (this.options.dialect.parseTargetId(key) !== undefined) {
      this.items.set(key, { item, decoded: fact });
    }
    return fact;
  }

  private applyConfiguration(
    configuration: ServingConfiguration,
    revision: number,
    source: UpdateSource,
  ): void {
    const { clock, log, readAgeMs } = this.options;
    const previous = this.routeTable?.version;
    // Written behind what only peers told, the store's own counts also with a lower version.
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

function getDecodedTarget(fact: DecodedStoreItem): ServiceTarget | undefined {
  if (fact.kind === 'target') {
    return fact.target;
  }
  return fact.kind === 'unreadable' ? fact.previousTarget : undefined;
}

/** A target's heartbeats leave its creation and its address as they are, and so its mark. */
function fingerprintOf(
  item: StoreItem,
  fact: DecodedStoreItem,
  before?: StoreViewItem,
): number | undefined {
  if (fact.kind !== 'target') {
    return undefined;
  }
  const { host, port } = fact.target;
  const known = before?.item.made === item.made ? before : undefined;
  const at = known && getDecodedTarget(known.decoded);
  const isSame = at?.host === host && at.port === port;
  return (isSame ? known?.fingerprint : undefined) ?? fingerprintTarget(item, fact.target);
}

/** Items that this system writes for itself; undefined for others. */
function decodeOwnItem({ key, value }: StoreItem): DecodedStoreItem | undefined {
  if (key === DUTY_KEY || key === ROLL_OUT_DUTY_KEY) {
    return DUTY;
  }
  if (key.startsWith(QUARANTINE_KEY_PREFIX)) {
    const quarantine = decodeQuarantine(value);
    return quarantine === undefined
      ? { kind: 'unreadable', reason: 'names no service' }
      : { kind: 'quarantine', identity: key.slice(QUARANTINE_KEY_PREFIX.length), quarantine };
  }
  if (!key.startsWith(STEP_KEYS)) {
    return undefined;
  }
  const agreed = readStep(value);
  return agreed === undefined
    ? { kind: 'unreadable', reason: 'holds no step of a roll-out' }
    : { kind: 'roll-out-step', service: key.slice(STEP_KEYS.length), step: agreed };
}
