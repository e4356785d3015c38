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
  decodeStep,
  STEP_KEY_PREFIX,
  type AgreedStep,
  type RollOutState,
  type StateItem,
  type StoredOrder,
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
import { DUTY_KEY, QUARANTINE_KEYS, ROLL_OUT_DUTY_KEY } from './own-keys.js';
import { readQuarantine } from './quarantine-item.js';
import RemovedKeys from './removed-keys.js';
import StoreMarks, { markTarget } from './store-marks.js';

/** Where knowledge came from: the store itself, or the address of a peer that told it. */
type KnowledgeSource = string;

const STORE: KnowledgeSource = 'store';

/** What an item of the store means. */
export type StoreFact =
  | { kind: 'configuration'; configuration: ServingConfiguration }
  | { kind: 'target'; target: ServiceTarget }
  | { kind: 'roll-out'; order: RollOutOrder }
  /** Written by this system: how far a roll-out is. */
  | { kind: 'roll-out-step'; service: string; agreed: AgreedStep }
  /** Written by this system: a request of that identity is kept from targets. */
  | { kind: 'quarantine'; identity: string; quarantine: Quarantine }
  /** Written by this system: somebody holds the duties. */
  | { kind: 'duty' }
  /**
   * It should be one of these, and does not hold. A target that the item named before is left
   * there as one that leaves: nothing new goes to it until its own writer is back.
   */
  | { kind: 'unreadable'; reason: string; left?: ServiceTarget }
  | { kind: 'other' };

/** Reads items of the store in the platform's words. */
export interface StoreDialect {
  read(item: StoreItem): StoreFact;
  /** The id of the target whose item has that key; undefined for other items. */
  readTargetId(key: string): string | undefined;
  /** The item by which the operator is told how far a roll-out is. */
  composeRollOutState(service: string, state: RollOutState, version: string): StateItem;
}

const DUTY: StoreFact = { kind: 'duty' };

interface KnownItem {
  item: StoreItem;
  fact: StoreFact;
  /** Mark of a target; see `StoreMarks`. */
  mark?: number;
}

/** What knowledge needs. */
export interface KnowledgeOptions {
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
  onForgotten(): void;
  /** Called after each change of what is known. */
  onChange(): void;
}

/** Holds the configuration in force, and passes changes of targets on. */
export default class Knowledge {
  private table: RouteTable | undefined;
  /** Items that mean something, by key. */
  private readonly known = new Map<string, KnownItem>();
  private removed = new RemovedKeys();
  /** Revisions of items that do not hold and left what was known before in force, by key. */
  private readonly unreadable = new Map<string, number>();
  private readonly noteUnreadable: LimitedLines;
  private readonly marks = new StoreMarks();
  /** Whether the store itself gave its list; until then peers' word is all that there is. */
  private isConfirmed = false;
  private knownRevision = 0;
  private changedAtMs: Millis = 0;
  private source: KnowledgeSource | undefined;
  private configurationSize = 0;
  private readonly lapsed: LapsedTargets;

  constructor(private readonly options: KnowledgeOptions) {
    const { clock, timers, leavingTargetMs, directory, log } = options;
    this.noteUnreadable = createLineLimit(log, clock, 'store-item-unreadable');
    this.lapsed = new LapsedTargets({
      clock,
      timers,
      leavingTargetMs,
      isLeaving: (id) => directory.get(id)?.target.leaving === true,
      onGone: (id) => {
        log.write('lapsed-target-gone', { target: id });
        directory.apply([{ kind: 'gone', id }]);
      },
    });
  }

  /**
   * The store stopped answering this VM.
   * @param lastAnswerAtMs when it last answered any VM, where that is known to be earlier
   */
  noteStoreLost(lastAnswerAtMs?: Millis): void {
    this.lapsed.noteStoreLost(lastAnswerAtMs);
  }

  /** Marks by which peers of the same store are told from others; none before the store answered. */
  readMarks(): readonly number[] {
    if (!this.isConfirmed) {
      return [];
    }
    return this.marks.list([...this.known.values()].flatMap(({ mark }) => mark ?? []));
  }

  /**
   * Drops all that is known: it was of another store, or of this one before it began anew.
   * The store decides, since it never goes back, and what peers say may be of anywhere.
   * @param revision up to which the store itself has come
   */
  forgetAll(reason: string, revision: number): void {
    this.options.log.write('store-knowledge-dropped', {
      reason,
      known: this.knownRevision,
      revision,
      configuration: this.table?.version,
      source: this.source,
    });
    this.known.clear();
    this.unreadable.clear();
    this.removed = new RemovedKeys();
    this.marks.forget();
    this.isConfirmed = false;
    this.knownRevision = 0;
    this.table = undefined;
    this.source = undefined;
    this.configurationSize = 0;
    this.options.onForgotten();
  }

  /** The store answers again. */
  noteStoreRegained(): void {
    this.lapsed.noteStoreRegained();
  }

  /** The compiled configuration in force. */
  get routes(): RouteTable | undefined {
    return this.table;
  }

  /** Who told the configuration in force: "store", or the address of a peer. */
  get configurationSource(): string | undefined {
    return this.source;
  }

  /** Orders of roll-outs that stand now, with the revision that wrote each. */
  listRollOuts(): StoredOrder[] {
    return [...this.known.values()].flatMap(({ item, fact }) =>
      fact.kind === 'roll-out' ? [{ order: fact.order, revision: item.revision }] : [],
    );
  }

  /** Steps of roll-outs that all VMs agree on, by service. */
  readRollOutSteps(): ReadonlyMap<string, AgreedStep> {
    return new Map(
      [...this.known.values()].flatMap(({ fact }): [string, AgreedStep][] =>
        fact.kind === 'roll-out-step' ? [[fact.service, fact.agreed]] : [],
      ),
    );
  }

  /** Requests that are kept from targets, by their identities. */
  readQuarantines(): ReadonlyMap<string, Quarantine> {
    return new Map(
      [...this.known.values()].flatMap(({ fact }): [string, Quarantine][] =>
        fact.kind === 'quarantine' ? [[fact.identity, fact.quarantine]] : [],
      ),
    );
  }

  /** Whether an item that means something is there. */
  has(key: string): boolean {
    return this.known.has(key);
  }

  /** What is known beyond a revision, for peers that do not ask the store themselves. */
  readUpdate(since: number): StoreUpdate {
    const items = [...this.known.values()].map(({ item }) => item);
    const gone = this.removed.listSince(since);
    return {
      items: items.filter((item) => item.revision > since),
      // A key that came back is no longer gone.
      gone: gone?.filter((key) => !this.known.has(key)) ?? [],
      present: gone === undefined ? items.map(({ key }) => key) : undefined,
      revision: this.knownRevision,
    };
  }

  /** Revision of the store up to which everything is known; 0 before the first list. */
  get revision(): number {
    return this.knownRevision;
  }

  /** Bytes of the newest configuration; 0 for none. */
  get configurationBytes(): number {
    return this.configurationSize;
  }

  /** Whether requests can be served. */
  get isComplete(): boolean {
    return this.table !== undefined && this.knownRevision > 0;
  }

  /** Takes a complete list of the store. */
  takeList({ items, revision }: StoreList): void {
    if (items.some((item) => this.isContradicted(item, revision))) {
      this.forgetAll('contradicts-list', revision);
    }
    this.forgetExcept(new Set(items.map(({ key }) => key)));
    items.forEach((item) => this.read(item, STORE));
    if (!this.isConfirmed) {
      this.isConfirmed = true;
      this.markListed(items);
    }
    this.takeAll(revision);
  }

  /** Only what the store listed proves anything; what peers told before it may be of anywhere. */
  private markListed(items: StoreItem[]): void {
    this.marks.forget();
    items
      .filter(({ key }) => this.known.get(key)?.fact.kind === 'configuration')
      .forEach((item) => this.marks.noteConfiguration(item));
  }

  /** Whether what is known of an item can't be of the store that listed it so. */
  private isContradicted(item: StoreItem, listRevision: number): boolean {
    const known = this.known.get(item.key);
    if (known === undefined || known.item.revision > listRevision) {
      return false;
    }
    const isSame = known.item.revision === item.revision;
    return known.item.revision > item.revision || (isSame && !known.item.value.equals(item.value));
  }

  /** Takes what a peer knows beyond this VM; nothing where this VM learned as much meanwhile. */
  takePeerUpdate({ items, gone, present, revision }: StoreUpdate, peer: string): void {
    if (revision <= this.knownRevision) {
      return;
    }
    const from = this.knownRevision;
    this.options.log.write('peer-told-items', { peer, from, revision, items: items.length });
    if (present === undefined) {
      const puts = [...items].sort((a, b) => a.revision - b.revision);
      const changes = [
        ...gone.map((key): StoreChange => ({ kind: 'gone', key })),
        ...puts.map((item): StoreChange => ({ kind: 'put', item })),
      ];
      this.takeChanges({ changes, revision }, peer);
      return;
    }
    this.forgetExcept(new Set(present));
    items.forEach((item) => this.read(item, peer));
    this.takeAll(revision);
  }

  /** All that is known now is all that there is. */
  private takeAll(revision: number): void {
    this.knownRevision = Math.max(revision, this.knownRevision);
    this.removed.begin(revision);
    const { directory, onChange } = this.options;
    directory.apply(this.lapsed.filter(directory.listChanges(this.listTargets())));
    onChange();
  }

  /** Of two targets at one address the one that was written later stands there. */
  private listTargets(): ServiceTarget[] {
    const inOrder = [...this.known.values()].sort((a, b) => a.item.revision - b.item.revision);
    const byAddress = new Map<string, ServiceTarget>();
    for (const { fact } of inOrder) {
      const target = targetOf(fact);
      if (target !== undefined) {
        byAddress.set(`${target.host}:${target.port}`, target);
      }
    }
    return [...byAddress.values()];
  }

  private forgetExcept(keys: ReadonlySet<string>): void {
    for (const key of [...this.known.keys()]) {
      if (!keys.has(key)) {
        this.known.delete(key);
      }
    }
  }

  /** Takes changes that followed a list. */
  takeChanges({ changes, revision }: StoreChanges, source = STORE): void {
    const targetChanges = changes.flatMap((change) =>
      this.toTargetChange(change, revision, source),
    );
    // Requests that wait are served as targets come; by then all that came with them counts.
    this.knownRevision = Math.max(revision, this.knownRevision);
    this.options.directory.apply(this.lapsed.filter(targetChanges));
    if (changes.length > 0) {
      this.options.onChange();
    }
  }

  private toTargetChange(
    change: StoreChange,
    revision: number,
    source: KnowledgeSource,
  ): TargetChange[] {
    const key = change.kind === 'gone' ? change.key : change.item.key;
    const before = this.readTarget(key);
    if (change.kind === 'gone') {
      this.known.delete(key);
      this.unreadable.delete(key);
      this.removed.note(key, revision);
      const id = before?.id ?? this.options.dialect.readTargetId(key);
      return id === undefined ? [] : [{ kind: 'gone', id }];
    }
    const target = targetOf(this.read(change.item, source));
    if (target === undefined) {
      return [];
    }
    // Under its name a target may begin again, and then knows nothing of before.
    const isOther = before !== undefined && before.id !== target.id;
    const put: TargetChange = { kind: 'put', target };
    return isOther ? [{ kind: 'gone', id: before.id }, put] : [put];
  }

  private readTarget(key: string): ServiceTarget | undefined {
    const known = this.known.get(key);
    return known && targetOf(known.fact);
  }

  private read(item: StoreItem, source: KnowledgeSource): StoreFact {
    const known = this.known.get(item.key);
    if (known !== undefined && known.item.revision >= item.revision) {
      return known.fact;
    }
    const fact = readOwnItem(item) ?? this.options.dialect.read(item);
    if (fact.kind === 'unreadable') {
      return this.takeUnreadable(item, fact.reason);
    }
    this.unreadable.delete(item.key);
    if (fact.kind !== 'other') {
      this.known.set(item.key, { item, fact, mark: markOf(item, fact, known) });
    }
    if (fact.kind === 'configuration') {
      this.marks.noteConfiguration(item);
      this.configurationSize = item.value.length;
      this.takeConfiguration(fact.configuration, item.revision, source);
    }
    return fact;
  }

  /** A target is left; of anything else the last one that held stays. One line for each revision. */
  private takeUnreadable(item: StoreItem, reason: string): StoreFact {
    const { key, revision } = item;
    if ((this.unreadable.get(key) ?? 0) < revision) {
      this.unreadable.set(key, revision);
      this.noteUnreadable({ key, revision, reason });
    }
    const before = this.readTarget(key);
    const left = before && { ...before, leaving: true };
    const fact: StoreFact = { kind: 'unreadable', reason, left };
    if (this.options.dialect.readTargetId(key) !== undefined) {
      this.known.set(key, { item, fact });
    }
    return fact;
  }

  private takeConfiguration(
    configuration: ServingConfiguration,
    revision: number,
    source: KnowledgeSource,
  ): void {
    const { clock, log, readAgeMs } = this.options;
    const previous = this.table?.version;
    // Written behind what only peers told, the store's own counts also with a lower version.
    const isFirstOwn = source === STORE && !this.isConfirmed;
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
      previousAgeMs: previous === undefined ? undefined : Math.round(now - this.changedAtMs),
    });
    this.changedAtMs = now;
    this.source = source;
    this.table = compileRoutes(configuration);
    this.options.onConfiguration(this.table);
  }
}

function targetOf(fact: StoreFact): ServiceTarget | undefined {
  if (fact.kind === 'target') {
    return fact.target;
  }
  return fact.kind === 'unreadable' ? fact.left : undefined;
}

/** A target's heartbeats leave its creation and its address as they are, and so its mark. */
function markOf(item: StoreItem, fact: StoreFact, before?: KnownItem): number | undefined {
  if (fact.kind !== 'target') {
    return undefined;
  }
  const { host, port } = fact.target;
  const known = before?.item.made === item.made ? before : undefined;
  const at = known && targetOf(known.fact);
  const isSame = at?.host === host && at.port === port;
  return (isSame ? known?.mark : undefined) ?? markTarget(item, fact.target);
}

/** Items that this system writes for itself; undefined for others. */
function readOwnItem({ key, value }: StoreItem): StoreFact | undefined {
  if (key === DUTY_KEY || key === ROLL_OUT_DUTY_KEY) {
    return DUTY;
  }
  if (key.startsWith(QUARANTINE_KEYS)) {
    const quarantine = readQuarantine(value);
    return quarantine === undefined
      ? { kind: 'unreadable', reason: 'names no service' }
      : { kind: 'quarantine', identity: key.slice(QUARANTINE_KEYS.length), quarantine };
  }
  if (!key.startsWith(STEP_KEY_PREFIX)) {
    return undefined;
  }
  const agreed = decodeStep(value);
  return agreed === undefined
    ? { kind: 'unreadable', reason: 'holds no step of a roll-out' }
    : { kind: 'roll-out-step', service: key.slice(STEP_KEY_PREFIX.length), agreed };
}
