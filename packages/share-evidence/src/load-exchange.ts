/**
 * The load of VMs at targets, and what follows from it. In a small fleet every VM
 * tells all others. In a large one each tells the schedulers of its region, and asks
 * them where its streams go; schedulers tell those of other regions the sums.
 */
import type { Advice, AdviceRequest, Clock, Millis, Timers } from '@limelead/types';
import { choosePart, type Schedulers } from './choose-schedulers.js';
import LoadNews from './load-news.js';
import type { EvidenceMessage, EvidenceMessageOf } from './messages.js';
import type PeerTable from './peer-table.js';
import RegionLoad, { fromColumns } from './region-load.js';
import TargetAdvice from './target-advice.js';
import type { EvidenceExchangeOptions, PeerId, TargetLoad } from './types.js';

/** What it needs. */
export interface LoadExchangeOptions extends Pick<
  EvidenceExchangeOptions,
  'failureDomain' | 'readLoad' | 'onLoad' | 'adviseTarget'
> {
  self: PeerId;
  clock: Clock;
  timers: Timers;
  peers: PeerTable;
  /** By part of the targets; none in a small fleet. */
  listSchedulers(): Schedulers;
  /** VMs of other regions that are told the load of this one; none but for a scheduler. */
  listLoadReaders(): readonly PeerId[];
  /** Whether a peer is in another region. */
  isDistant(peer: PeerId): boolean;
  send(peer: PeerId, message: EvidenceMessage): void;
  broadcast(message: EvidenceMessage, peers: PeerId[]): void;
}

type LoadMessage = EvidenceMessageOf<'load' | 'region-load' | 'want-target' | 'advise-target'>;

/** Tells load, asks for advice and gives it. */
export default class LoadExchange {
  private readonly news: LoadNews;
  private readonly region: RegionLoad;
  private readonly advice: TargetAdvice;
  private startedAtMs: Millis = 0;

  constructor(private readonly options: LoadExchangeOptions) {
    const { self, clock, timers, peers, listSchedulers, adviseTarget, send, broadcast } = options;
    this.news = new LoadNews({
      timers,
      listPeers: () => this.listReaders(),
      readLoadFor: (peer) => this.readLoadFor(peer),
      tell: (peer, targets) =>
        send(peer, { kind: 'load', targets, advice: this.advice.answeredBy(peer) }),
    });
    this.region = new RegionLoad({
      timers,
      readOwnLoad: () => this.readLoadFor(self),
      listReaders: () => this.listRegionReaders(),
      tell: (readers, sums) => broadcast({ kind: 'region-load', ...sums }, readers),
    });
    this.advice = new TargetAdvice({
      self,
      clock,
      timers,
      listSchedulers,
      readLinkedAtMs: (scheduler) =>
        scheduler === self ? this.startedAtMs : peers.get(scheduler)?.linkedAtMs,
      decide: (question) => adviseTarget(self, question),
      send: (scheduler, question) => send(scheduler, { kind: 'want-target', ...question }),
    });
  }

  /** From now on this VM counts as linked to itself. */
  start(): void {
    this.startedAtMs = this.options.clock.now();
  }

  /** The load of this VM changed; those who should know are told soon. */
  note(): void {
    this.news.note();
    this.region.note();
  }

  /** Tells those who should know another load than they do. */
  tell(): void {
    this.news.tellAll();
    this.region.tellAll();
  }

  /** Asks where a stream should go; answered at once where there is nobody to ask. */
  ask(request: AdviceRequest, receive: (advice: Advice) => void): () => void {
    return this.advice.ask({ ...request, failureDomain: this.options.failureDomain }, receive);
  }

  /** A link came up. */
  noteLinked(peer: PeerId): void {
    this.news.forget(peer);
    this.region.forget(peer);
    this.news.tellAll();
    this.region.note();
  }

  /** A link is lost. */
  noteLost(peer: PeerId): void {
    this.news.forget(peer);
    this.region.forget(peer);
    this.region.take(peer, []);
    this.advice.noteLost(peer);
    this.options.onLoad(peer, { targets: new Map(), advice: Infinity });
  }

  /** A peer told its load, or one of the two asks where a stream should go. */
  hear(peer: PeerId, message: LoadMessage): void {
    switch (message.kind) {
      case 'load':
        this.hearLoad(peer, message);
        break;
      case 'region-load':
        this.options.onLoad(peer, { targets: toLoads(fromColumns(message)), advice: 0 });
        break;
      case 'want-target':
        this.answer(peer, message);
        break;
      case 'advise-target':
        this.hearAdvice(peer, message);
        break;
    }
  }

  /** A peer told its load. */
  private hearLoad(peer: PeerId, { targets, advice }: EvidenceMessageOf<'load'>): void {
    this.options.onLoad(peer, { targets: toLoads(targets), advice });
    this.region.take(peer, this.options.isDistant(peer) ? [] : targets);
  }

  /** A peer asks where its stream should go. */
  private answer(peer: PeerId, question: EvidenceMessageOf<'want-target'>): void {
    const { adviseTarget, send } = this.options;
    const answer = adviseTarget(peer, question);
    send(peer, {
      kind: 'advise-target',
      number: question.number,
      target: answer?.target ?? null,
      copyTo: answer?.copyTo ?? null,
    });
  }

  /** A scheduler answered. */
  private hearAdvice(
    peer: PeerId,
    { number, target, copyTo }: EvidenceMessageOf<'advise-target'>,
  ): void {
    const answer = target === null ? undefined : { target, copyTo: copyTo ?? undefined };
    this.advice.hear(peer, number, answer);
  }

  /** The schedulers, or all peers where there are none. */
  private listReaders(): PeerId[] {
    const { peers, listSchedulers } = this.options;
    const schedulers = new Set(listSchedulers().flat());
    return peers.list().filter((peer) => schedulers.size === 0 || schedulers.has(peer));
  }

  /** One scheduler of a part speaks for the region: the first that is linked to this one, or this one. */
  private listRegionReaders(): PeerId[] {
    const { self, peers, listSchedulers, listLoadReaders } = this.options;
    const part = listSchedulers().find((schedulers) => schedulers.includes(self)) ?? [];
    const speaker = part.find((peer) => peer === self || peers.get(peer) !== undefined);
    return speaker === self
      ? listLoadReaders().filter((peer) => peers.get(peer) !== undefined)
      : [];
  }

  /** A scheduler is told the load at its part of the targets. */
  private readLoadFor(peer: PeerId): TargetLoad[] {
    const { listSchedulers, readLoad } = this.options;
    const parts = listSchedulers();
    const part = parts.findIndex((schedulers) => schedulers.includes(peer));
    return part < 0
      ? readLoad()
      : readLoad().filter(({ id }) => choosePart(id, parts.length) === part);
  }
}

function toLoads(targets: TargetLoad[]): Map<string, TargetLoad> {
  return new Map(targets.map((load) => [load.id, load]));
}
