/** Targets known to this VM, with their load and health. */
import { hashText, type Clock, type Millis, type ServiceTarget } from '@limelead/types';
import AdvertisedLoadTable from './advertised-load-table.js';
import DomainLossTracker from './domain-loss-tracker.js';
import once from './once.js';
import ProbeAnswerTable, { type PeerProbeAnswer } from './probe-answer-table.js';
import {
  isSuspected,
  INITIAL_HEALTH,
  applyObservation,
  type TargetObservation,
} from './target-health.js';
import HeldTokens, { type HeldRun } from './held-tokens.js';
import PeerLoadTable, {
  type AdvisedRequest,
  type PeerLoad,
  type PeerLoadUpdate,
} from './peer-load-table.js';
import TargetPaceTable from './target-pace.js';
import type {
  LossCause,
  TargetChange,
  TargetDirectoryEvents,
  TargetLoss,
  TrackedServiceTarget,
} from './tracked-target.js';

/** Losses in one failure domain within this time are attributed to one cause. */
const DOMAIN_LOSS_WINDOW_MS = 700;

/**
 * Time after a prompt was read at a target during which slowness is not recorded, in milliseconds,
 * since reading slows down all pieces of the target.
 */
const READING_EFFECT_MS = 1_500;

/** The targets of one VM. */
export default class TargetDirectory {
  private readonly tracked = new Map<string, TrackedServiceTarget>();
  /**
   * Losses by service, since a failure of engines need not affect plain services in the same
   * domain.
   */
  private readonly lossesByService = new Map<string, DomainLossTracker>();
  private readonly listeners = new Set<() => void>();
  private readonly peerLoads: PeerLoadTable;
  readonly pace: TargetPaceTable;
  readonly probeAnswers = new ProbeAnswerTable();
  /** Tokens of memory that runs and replicas hold at the targets. */
  readonly tokens: HeldTokens;
  readonly advertisedLoads: AdvertisedLoadTable;

  constructor(
    private readonly clock: Clock,
    private readonly events: Partial<TargetDirectoryEvents> = {},
  ) {
    this.peerLoads = new PeerLoadTable(clock, (id, total) => this.setPeerLoad(id, total));
    this.pace = new TargetPaceTable(clock, (id) => this.tracked.get(id));
    this.tokens = new HeldTokens(clock, (id) => this.peerLoads.getTokens(id));
    this.advertisedLoads = new AdvertisedLoadTable(clock);
  }

  /** Number of known incarnations. */
  get size(): number {
    return this.tracked.size;
  }

  /**
   * Calls the listener whenever a waiting request may find a target. Returns a function that
   * unsubscribes.
   */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Replaces the known incarnations by a complete list. */
  replaceAll(targets: ServiceTarget[]): void {
    this.apply(this.listChanges(targets));
  }

  /** Lists the changes from the known incarnations to a complete list. */
  listChanges(targets: ServiceTarget[]): TargetChange[] {
    const listed = new Set(targets.map(({ id }) => id));
    const missing = [...this.tracked.keys()].filter((id) => !listed.has(id));
    return [
      ...missing.map((id): TargetChange => ({ kind: 'gone', id })),
      ...targets.map((target): TargetChange => ({ kind: 'put', target })),
    ];
  }

  /** Applies changes in order. */
  apply(changes: TargetChange[]): void {
    for (const change of changes) {
      if (change.kind === 'put') {
        this.put(change.target);
      } else {
        this.remove(change.id);
      }
    }
    this.notifyListeners();
  }

  get(id: string): TrackedServiceTarget | undefined {
    return this.tracked.get(id);
  }

  /** All known incarnations. */
  all(): TrackedServiceTarget[] {
    return [...this.tracked.values()];
  }

  /** All incarnations of a service. */
  listService(service: string): TrackedServiceTarget[] {
    return this.all().filter(({ target }) => target.service === service);
  }

  /** Incarnations of a service that accept new requests. */
  listUsable(service: string): TrackedServiceTarget[] {
    return this.listService(service).filter(({ target }) => !target.leaving);
  }

  /** Handles a target's announcement that it leaves. */
  onAnnouncedLeaving(id: string): void {
    const known = this.tracked.get(id);
    if (known !== undefined) {
      this.put(known.target);
    }
  }

  /** Counts a request of this VM in flight; returns a function that ends it. */
  startRequest(id: string, run?: HeldRun): () => void {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return () => undefined;
    }
    tracked.inFlight += 1;
    const releaseTokens = run && this.tokens.hold(id, run);
    this.events.onLoad?.(tracked);
    return once(() => {
      tracked.inFlight -= 1;
      releaseTokens?.();
      this.events.onLoad?.(tracked);
      this.notifyListeners();
    });
  }

  /**
   * Counts a request of this VM whose prompt is read; returns a function that ends it.
   * @param extraReading usual prompts by which the prompt is longer than a usual one
   */
  startReadingPrompt(id: string, extraReading = 0): () => void {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return () => undefined;
    }
    tracked.reading += 1;
    tracked.extraReading = (tracked.extraReading ?? 0) + extraReading;
    return once(() => {
      tracked.reading -= 1;
      tracked.extraReading = (tracked.extraReading ?? 0) - extraReading;
      tracked.lastReadingAtMs = this.clock.now();
      this.events.onLoad?.(tracked);
    });
  }

  /** Counts a replica of a run of this VM; returns a function that ends it. */
  addReplica(id: string, run?: HeldRun): () => void {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return () => undefined;
    }
    tracked.replicas += 1;
    const releaseTokens = run && this.tokens.hold(id, run);
    return once(() => {
      tracked.replicas -= 1;
      releaseTokens?.();
      this.events.onLoad?.(tracked);
    });
  }

  /** Applies an observation of this VM, and reports losses to the events' owner. */
  observe(id: string, observation: TargetObservation): void {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return;
    }
    this.applyObservation(id, observation);
    if (observation.kind === 'lost' || observation.kind === 'replaced') {
      this.events.onLost?.(tracked.target, observation.kind);
    }
  }

  /** Applies a loss that a peer reported. */
  onPeerLoss(id: string, loss: TargetLoss): void {
    this.applyObservation(id, { kind: loss });
  }

  /** Replaces the load of a peer; empty once the peer is gone. */
  onPeerLoad(peer: string, load: PeerLoadUpdate): void {
    this.peerLoads.applyUpdate(peer, load);
    load.targets.forEach(({ slowness }, id) => this.recordSlowness(id, slowness));
  }

  /**
   * Records the slowness of a run's pieces; above 1 it is ignored during and shortly after the
   * reading of a prompt.
   */
  recordSlowness(id: string, slowness: number): void {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return;
    }
    const isReading = tracked.reading + tracked.peerReading > 0;
    const isAffectedByReading =
      isReading || this.clock.now() - tracked.lastReadingAtMs < READING_EFFECT_MS;
    if (slowness === 1 || !isAffectedByReading) {
      this.applyObservation(id, { kind: 'paced', slowness });
    }
  }

  /** Present time per piece as a multiple of the usual one; 1 if usual or unknown. */
  paceOf(id: string): number {
    return this.pace.paceOf(id);
  }

  /** Records the pace that a target advertised; see `TargetPaceTable.recordAdvertisedPace`. */
  recordAdvertisedPace(id: string, multiple: number): void {
    this.pace.recordAdvertisedPace(id, multiple);
  }

  /** Applies answers to probes of a peer. */
  onPeerProbeAnswers(answers: PeerProbeAnswer[]): void {
    answers
      .filter(({ target }) => this.tracked.has(target))
      .forEach((answer) => this.probeAnswers.recordPeer(answer));
  }

  /** Counts a request that a peer was advised to send. */
  recordAdvisedRequest(request: AdvisedRequest): void {
    this.peerLoads.recordAdvisedRequest(request);
  }

  /** Records that bytes arrived from a target; cheaper than an observation. */
  recordActivity(id: string): void {
    const tracked = this.tracked.get(id);
    if (tracked !== undefined) {
      tracked.health.lastResponseAtMs = this.clock.now();
    }
  }

  /**
   * Whether so many of a service's targets in a failure domain were lost within the window that the
   * rest of them are likely lost too.
   */
  isDomainSuspected(
    service: string,
    failureDomain: string,
    windowMs: Millis = DOMAIN_LOSS_WINDOW_MS,
  ): boolean {
    return this.getLosses(service).isSuspected(failureDomain, this.clock.now() - windowMs);
  }

  /**
   * Whether a target is likely still running after the loss of a run. A broken connection means
   * that it ended. Silence means so only if its whole failure domain is suspected; otherwise the
   * target may just be slow.
   */
  isLikelyRunning(id: string, cause: LossCause | undefined): boolean {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return false;
    }
    const hasLikelyEnded =
      cause === 'broken' ||
      (cause === 'silent' &&
        this.isDomainSuspected(tracked.target.service, tracked.target.failureDomain));
    return !(hasLikelyEnded && this.isSuspected(id));
  }

  /** Whether a target is considered down now. */
  isSuspected(id: string): boolean {
    const tracked = this.tracked.get(id);
    return tracked !== undefined && isSuspected(tracked.health, this.clock.now());
  }

  private applyObservation(id: string, observation: TargetObservation): void {
    const tracked = this.tracked.get(id);
    if (tracked !== undefined) {
      const now = this.clock.now();
      tracked.health = applyObservation(tracked.health, observation, now);
      if (observation.kind === 'lost') {
        this.getLosses(tracked.target.service).recordLoss(tracked.target.failureDomain, id, now);
      }
    }
  }

  private setPeerLoad(id: string, { requests, reading, copies }: PeerLoad): void {
    const tracked = this.tracked.get(id);
    if (tracked !== undefined) {
      if (tracked.peerReading > 0) {
        tracked.lastReadingAtMs = this.clock.now();
      }
      tracked.peerRequests = requests;
      tracked.peerReading = reading;
      tracked.peerReplicas = copies;
    }
  }

  private put(entry: ServiceTarget): void {
    const isLeaving = entry.leaving || this.events.hasAnnouncedLeaving?.(entry.id) === true;
    const target = { ...entry, leaving: isLeaving };
    const known = this.findIncarnation(target);
    if (known === undefined) {
      this.removeReplaced(target);
      this.getLosses(target.service).addTarget(target.failureDomain);
      const peerLoad = this.peerLoads.getTotal(target.id);
      this.tracked.set(target.id, {
        target,
        hash: hashText(target.id),
        health: { ...INITIAL_HEALTH },
        inFlight: 0,
        reading: 0,
        peerRequests: peerLoad.requests,
        peerReading: peerLoad.reading,
        lastReadingAtMs: 0,
        replicas: 0,
        peerReplicas: peerLoad.copies,
      });
      this.events.onNotice?.({ kind: target.leaving ? 'leaving' : 'joined', target });
      return;
    }
    if (target.leaving && !known.target.leaving) {
      this.events.onNotice?.({ kind: 'leaving', target });
    }
    known.target = target;
  }

  /** Streams began at the software of an incarnation, so that another version is another one. */
  private findIncarnation({ id, version }: ServiceTarget): TrackedServiceTarget | undefined {
    const known = this.tracked.get(id);
    return known?.target.version === version ? known : undefined;
  }

  /** Removes earlier incarnations at the same address or of the same id. */
  private removeReplaced({ id, host, port }: ServiceTarget): void {
    for (const { target } of this.all()) {
      if (target.id === id || (target.host === host && target.port === port)) {
        this.remove(target.id);
      }
    }
  }

  private remove(id: string): void {
    const known = this.tracked.get(id);
    if (known !== undefined) {
      const { target } = known;
      this.tracked.delete(id);
      this.pace.forget(id);
      this.probeAnswers.forget(id);
      this.tokens.forget(id);
      this.advertisedLoads.forget(id);
      this.getLosses(target.service).removeTarget(target.failureDomain, id);
      this.events.onNotice?.({ kind: 'gone', target });
    }
  }

  private getLosses(service: string): DomainLossTracker {
    const known = this.lossesByService.get(service);
    if (known !== undefined) {
      return known;
    }
    const losses = new DomainLossTracker();
    this.lossesByService.set(service, losses);
    return losses;
  }

  private notifyListeners(): void {
    for (const listener of [...this.listeners]) {
      listener();
    }
  }
}
