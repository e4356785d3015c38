/**
 * Exchanges the load of VMs at targets. In a small fleet every VM sends its load to all others. In
 * a large fleet each VM sends it to the schedulers of its region and asks them where its streams
 * go; schedulers send the sums to those of other regions.
 */
import type { Advice, AdviceRequest, Clock, Millis, Timers } from '@limelead/types';
import { choosePartition, type SchedulersByPartition } from './choose-schedulers.js';
import LoadPublisher from './load-publisher.js';
import type { ExchangeMessage, ExchangeMessageOf } from './messages.js';
import type PeerTable from './peer-table.js';
import RegionLoadPublisher, { fromColumns } from './region-load-publisher.js';
import TargetAdviceClient from './target-advice-client.js';
import type { PeerExchangeOptions, PeerId, SchedulerAnswer, TargetLoad } from './types.js';

/** Dependencies of `LoadExchange`. */
export interface LoadExchangeOptions extends Pick<
  PeerExchangeOptions,
  'failureDomain' | 'readLoad' | 'onPeerLoad' | 'adviseTarget'
> {
  self: PeerId;
  clock: Clock;
  timers: Timers;
  peers: PeerTable;
  /** Schedulers by partition of the targets; empty in a small fleet. */
  listSchedulers(): SchedulersByPartition;
  /** Those of the VMs that reach the service; all of them if none does. */
  preferReached(vms: readonly PeerId[], service: string): readonly PeerId[];
  /**
   * Schedulers of other regions to which this VM sends load; empty unless it is a scheduler itself.
   */
  listRemoteSchedulers(): readonly PeerId[];
  /** Whether a peer is in another region. */
  isInOtherRegion(peer: PeerId): boolean;
  send(peer: PeerId, message: ExchangeMessage): void;
  broadcast(message: ExchangeMessage, peers: PeerId[]): void;
}

type LoadMessage = ExchangeMessageOf<'load' | 'region-load' | 'want-target' | 'advise-target'>;

/** Publishes load, requests advice and answers such requests. */
export default class LoadExchange {
  private readonly loadPublisher: LoadPublisher;
  private readonly regionLoadPublisher: RegionLoadPublisher;
  private readonly adviceClient: TargetAdviceClient;
  private startedAtMs: Millis = 0;

  constructor(private readonly options: LoadExchangeOptions) {
    const { self, clock, timers, peers, listSchedulers, adviseTarget, send, broadcast } = options;
    this.loadPublisher = new LoadPublisher({
      timers,
      listPeers: () => this.listRecipients(),
      readLoadFor: (peer) => this.readLoadFor(peer),
      send: (peer, targets) =>
        send(peer, { kind: 'load', targets, advice: this.adviceClient.lastAnswerNumber(peer) }),
    });
    this.regionLoadPublisher = new RegionLoadPublisher({
      timers,
      readOwnLoad: () => this.readLoadFor(self),
      listRecipients: () => this.listRegionRecipients(),
      send: (readers, sums) => broadcast({ kind: 'region-load', ...sums }, readers),
    });
    this.adviceClient = new TargetAdviceClient({
      self,
      clock,
      timers,
      listSchedulers,
      preferReached: (vms, service) => this.options.preferReached(vms, service),
      readLinkedAtMs: (scheduler) =>
        scheduler === self ? this.startedAtMs : peers.get(scheduler)?.linkedAtMs,
      adviseLocally: (request) => adviseTarget(self, request),
      send: (scheduler, request) => send(scheduler, { kind: 'want-target', ...request }),
    });
  }

  /** Starts the exchange; this VM counts as linked to itself from now on. */
  start(): void {
    this.startedAtMs = this.options.clock.now();
  }

  /** Schedules publication of a changed load. */
  onLoadChanged(): void {
    this.loadPublisher.onLoadChanged();
    this.regionLoadPublisher.onLoadChanged();
  }

  /** Sends the current load to every recipient with an outdated one. */
  publishChanges(): void {
    this.loadPublisher.publishChanges();
    this.regionLoadPublisher.publishChanges();
  }

  /**
   * Requests a target for a stream. `receive` is called at once if there is no scheduler.
   * @returns a function that cancels the request
   */
  requestAdvice(request: AdviceRequest, receive: (advice: Advice) => void): () => void {
    return this.adviceClient.requestAdvice(
      { ...request, failureDomain: this.options.failureDomain },
      receive,
    );
  }

  /** Handles a new link. */
  onLinked(peer: PeerId): void {
    this.loadPublisher.forgetPeer(peer);
    this.regionLoadPublisher.forgetRecipient(peer);
    this.loadPublisher.publishChanges();
    this.regionLoadPublisher.onLoadChanged();
  }

  /** Handles the loss of a link. */
  onPeerLost(peer: PeerId): void {
    this.loadPublisher.forgetPeer(peer);
    this.regionLoadPublisher.forgetRecipient(peer);
    this.regionLoadPublisher.setVmLoad(peer, []);
    this.adviceClient.onLinkLost(peer);
    this.options.onPeerLoad(peer, { targets: new Map(), advice: Infinity });
  }

  /** Handles a peer's load, or its request for or answer with advice. */
  onMessage(peer: PeerId, message: LoadMessage): void {
    switch (message.kind) {
      case 'load':
        this.onLoad(peer, message);
        break;
      case 'region-load':
        this.options.onPeerLoad(peer, { targets: toLoads(fromColumns(message)), advice: 0 });
        break;
      case 'want-target':
        this.answerRequest(peer, message);
        break;
      case 'advise-target':
        this.onAdvice(peer, message);
        break;
    }
  }

  /** Records the load of a peer. */
  private onLoad(peer: PeerId, { targets, advice }: ExchangeMessageOf<'load'>): void {
    this.options.onPeerLoad(peer, { targets: toLoads(targets), advice });
    this.regionLoadPublisher.setVmLoad(peer, this.options.isInOtherRegion(peer) ? [] : targets);
  }

  /** Answers a request for advice. */
  private answerRequest(peer: PeerId, request: ExchangeMessageOf<'want-target'>): void {
    const { adviseTarget, send } = this.options;
    const answer = adviseTarget(peer, request);
    send(peer, {
      kind: 'advise-target',
      number: request.number,
      target: answer?.target ?? null,
      copyTo: answer?.copyTo ?? null,
      ...(answer?.noRoom ? { noRoom: true } : {}),
    });
  }

  /** Passes the advice of a scheduler on. */
  private onAdvice(
    peer: PeerId,
    { number, target, copyTo, noRoom }: ExchangeMessageOf<'advise-target'>,
  ): void {
    const none: SchedulerAnswer | undefined = noRoom === true ? { noRoom } : undefined;
    const answer = target === null ? none : { target, copyTo: copyTo ?? undefined };
    this.adviceClient.onAnswer(peer, number, answer);
  }

  /** Returns the linked schedulers, or all peers if there are no schedulers. */
  private listRecipients(): PeerId[] {
    const { peers, listSchedulers } = this.options;
    const schedulers = new Set(listSchedulers().flat());
    return peers.list().filter((peer) => schedulers.size === 0 || schedulers.has(peer));
  }

  /**
   * Returns recipients only if this VM reports for its region: it is the first scheduler of its
   * partition that is linked.
   */
  private listRegionRecipients(): PeerId[] {
    const { self, peers, listSchedulers, listRemoteSchedulers } = this.options;
    const partition = listSchedulers().find((schedulers) => schedulers.includes(self)) ?? [];
    const sender = partition.find((peer) => peer === self || peers.get(peer) !== undefined);
    return sender === self
      ? listRemoteSchedulers().filter((peer) => peers.get(peer) !== undefined)
      : [];
  }

  /** Returns the load for a peer; a scheduler gets only its partition of the targets. */
  private readLoadFor(peer: PeerId): TargetLoad[] {
    const { listSchedulers, readLoad } = this.options;
    const partitions = listSchedulers();
    const partition = partitions.findIndex((schedulers) => schedulers.includes(peer));
    return partition < 0
      ? readLoad()
      : readLoad().filter(({ id }) => choosePartition(id, partitions.length) === partition);
  }
}

function toLoads(targets: TargetLoad[]): Map<string, TargetLoad> {
  return new Map(targets.map((load) => [load.id, load]));
}
