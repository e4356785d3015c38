/** The targets that this VM knows, with its own work on them and its evidence about them. */
import { hashText, type Clock, type Millis, type ServiceTarget } from '@limelead/types';
import DomainLosses from './domain-losses.js';
import { isSuspected, NO_EVIDENCE, observeTarget, type TargetObservation } from './evidence.js';
import PeerLoads, { type AdvisedRequest, type PeerLoad, type ToldLoad } from './peer-loads.js';
import type {
  LossCause,
  TargetChange,
  TargetDirectoryEvents,
  TargetLoss,
  TrackedServiceTarget,
} from './tracked-target.js';

/** Losses in one failure domain within this time are taken to have one cause. */
const DOMAIN_WINDOW_MS = 700;

/**
 * Time after the last reading of a prompt at a target in which the pace of its pieces
 * tells nothing, in milliseconds: each step that reads takes five times as long, and
 * pieces of about a second are measured together.
 */
const READING_BLURS_MS = 1_500;

/** Holds the targets of one VM. */
export default class TargetDirectory {
  private readonly tracked = new Map<string, TrackedServiceTarget>();
  /** Service by service: what strikes engines need not strike the services beside them. */
  private readonly losses = new Map<string, DomainLosses>();
  private readonly listeners = new Set<() => void>();
  private readonly peerLoads: PeerLoads;

  constructor(
    private readonly clock: Clock,
    private readonly events: Partial<TargetDirectoryEvents> = {},
  ) {
    this.peerLoads = new PeerLoads(clock, (id, total) => this.setPeerLoad(id, total));
  }

  /** Number of known incarnations. */
  get size(): number {
    return this.tracked.size;
  }

  /** Calls back whenever a waiting request may find a target that it did not find before. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Takes a complete list; incarnations that are not in it are gone. */
  replaceAll(targets: ServiceTarget[]): void {
    this.apply(this.compare(targets));
  }

  /** The changes that lead from what is known to a complete list. */
  compare(targets: ServiceTarget[]): TargetChange[] {
    const listed = new Set(targets.map(({ id }) => id));
    const missing = [...this.tracked.keys()].filter((id) => !listed.has(id));
    return [
      ...missing.map((id): TargetChange => ({ kind: 'gone', id })),
      ...targets.map((target): TargetChange => ({ kind: 'put', target })),
    ];
  }

  /** Takes changes in their order. */
  apply(changes: TargetChange[]): void {
    for (const change of changes) {
      if (change.kind === 'put') {
        this.put(change.target);
      } else {
        this.remove(change.id);
      }
    }
    this.wake();
  }

  get(id: string): TrackedServiceTarget | undefined {
    return this.tracked.get(id);
  }

  /** Every known incarnation. */
  all(): TrackedServiceTarget[] {
    return [...this.tracked.values()];
  }

  /** The incarnations of a service that take new work. */
  listUsable(service: string): TrackedServiceTarget[] {
    return this.all().filter(({ target }) => target.service === service && !target.leaving);
  }

  /** A target announced in an answer that it leaves. */
  onAnnouncedLeaving(id: string): void {
    const known = this.tracked.get(id);
    if (known !== undefined) {
      this.put(known.target);
    }
  }

  /** Notes that a request of this VM began there, and gives what ends it. */
  begin(id: string): () => void {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return () => undefined;
    }
    tracked.inFlight += 1;
    this.events.onLoad?.(tracked);
    return once(() => {
      tracked.inFlight -= 1;
      this.events.onLoad?.(tracked);
      this.wake();
    });
  }

  /** Notes that a request of this VM reads its prompt there, and gives what ends it. */
  beginReading(id: string): () => void {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return () => undefined;
    }
    tracked.reading += 1;
    return once(() => {
      tracked.reading -= 1;
      tracked.readAtMs = this.clock.now();
      this.events.onLoad?.(tracked);
    });
  }

  /** Notes that a copy of a run is kept there, and gives what ends it. */
  keepCopy(id: string): () => void {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return () => undefined;
    }
    tracked.copies += 1;
    return once(() => {
      tracked.copies -= 1;
      this.events.onLoad?.(tracked);
    });
  }

  /** Takes an observation of this VM about a target. */
  observe(id: string, observation: TargetObservation): void {
    this.takeObservation(id, observation);
    if (observation.kind === 'lost' || observation.kind === 'replaced') {
      this.events.onLost?.(id, observation.kind);
    }
  }

  /** Another VM found a target lost. */
  takePeerLoss(id: string, loss: TargetLoss): void {
    this.takeObservation(id, { kind: loss });
  }

  /** Takes the requests that another VM has under way at each target; none once it is gone. */
  takePeerLoad(peer: string, load: ToldLoad): void {
    this.peerLoads.take(peer, load);
    load.targets.forEach(({ slowness }, id) => this.notePace(id, slowness));
  }

  /** Pieces of a run took so many times the usual time; says nothing beside a prompt that is read. */
  notePace(id: string, slowness: number): void {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return;
    }
    const reads = tracked.reading + tracked.peerReading > 0;
    const isBlurred = reads || this.clock.now() - tracked.readAtMs < READING_BLURS_MS;
    if (slowness === 1 || !isBlurred) {
      this.takeObservation(id, { kind: 'paced', slowness });
    }
  }

  /** Another VM was advised to send a request to a target. */
  noteAdvised(request: AdvisedRequest): void {
    this.peerLoads.noteAdvised(request);
  }

  /** Notes that bytes came from a target; cheaper than an observation. */
  hear(id: string): void {
    const tracked = this.tracked.get(id);
    if (tracked !== undefined) {
      tracked.evidence.heardAtMs = this.clock.now();
    }
  }

  /**
   * Whether so many of a service's targets in a failure domain were lost within the
   * window that the rest of them are likely lost too.
   */
  isDomainDoubtful(
    service: string,
    failureDomain: string,
    windowMs: Millis = DOMAIN_WINDOW_MS,
  ): boolean {
    return this.lossesOf(service).isDoubtful(failureDomain, this.clock.now() - windowMs);
  }

  /**
   * Whether a target still runs, as far as its loss tells. A broken connection
   * says that it ended. Silence says so only where its whole failure domain is in
   * doubt; otherwise the target may just be slow.
   */
  isPresent(id: string, cause: LossCause | undefined): boolean {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) {
      return false;
    }
    const saysEnded =
      cause === 'broken' ||
      (cause === 'silent' &&
        this.isDomainDoubtful(tracked.target.service, tracked.target.failureDomain));
    return !(saysEnded && this.isSuspected(id));
  }

  /** Whether a target is taken to be down now. */
  isSuspected(id: string): boolean {
    const tracked = this.tracked.get(id);
    return tracked !== undefined && isSuspected(tracked.evidence, this.clock.now());
  }

  private takeObservation(id: string, observation: TargetObservation): void {
    const tracked = this.tracked.get(id);
    if (tracked !== undefined) {
      const now = this.clock.now();
      tracked.evidence = observeTarget(tracked.evidence, observation, now);
      if (observation.kind === 'lost') {
        this.lossesOf(tracked.target.service).note(tracked.target.failureDomain, id, now);
      }
    }
  }

  private setPeerLoad(id: string, { requests, reading, copies }: PeerLoad): void {
    const tracked = this.tracked.get(id);
    if (tracked !== undefined) {
      if (tracked.peerReading > 0) {
        tracked.readAtMs = this.clock.now();
      }
      tracked.peerRequests = requests;
      tracked.peerReading = reading;
      tracked.peerCopies = copies;
    }
  }

  private put(entry: ServiceTarget): void {
    const isLeaving = entry.leaving || this.events.hasAnnouncedLeaving?.(entry.id) === true;
    const target = { ...entry, leaving: isLeaving };
    const known = this.tracked.get(target.id);
    if (known === undefined) {
      this.removeReplaced(target);
      this.lossesOf(target.service).join(target.failureDomain);
      const peers = this.peerLoads.totalOf(target.id);
      this.tracked.set(target.id, {
        target,
        hash: hashText(target.id),
        evidence: { ...NO_EVIDENCE },
        inFlight: 0,
        reading: 0,
        peerRequests: peers.requests,
        peerReading: peers.reading,
        readAtMs: 0,
        copies: 0,
        peerCopies: peers.copies,
      });
      this.events.onNotice?.({ kind: target.leaving ? 'leaving' : 'joined', target });
      return;
    }
    if (target.leaving && !known.target.leaving) {
      this.events.onNotice?.({ kind: 'leaving', target });
    }
    known.target = target;
  }

  /** Where another incarnation stood at the same address, it is over. */
  private removeReplaced({ host, port }: ServiceTarget): void {
    for (const { target } of this.all()) {
      if (target.host === host && target.port === port) {
        this.remove(target.id);
      }
    }
  }

  private remove(id: string): void {
    const known = this.tracked.get(id);
    if (known !== undefined) {
      const { target } = known;
      this.tracked.delete(id);
      this.lossesOf(target.service).leave(target.failureDomain, id);
      this.events.onNotice?.({ kind: 'gone', target });
    }
  }

  private lossesOf(service: string): DomainLosses {
    const known = this.losses.get(service);
    if (known !== undefined) {
      return known;
    }
    const losses = new DomainLosses();
    this.losses.set(service, losses);
    return losses;
  }

  private wake(): void {
    for (const listener of [...this.listeners]) {
      listener();
    }
  }
}

function once(run: () => void): () => void {
  let done = false;
  return () => {
    if (!done) {
      done = true;
      run();
    }
  };
}
