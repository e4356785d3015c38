/** Tells peers which software versions began streams, asks them, and answers such questions. */
import type {
  CancelTimer,
  Clock,
  Millis,
  OriginEvidence,
  StreamKey,
  StreamOrigin,
  Timers,
} from '@limelead/types';
import chooseOriginHolders from './choose-origin-holders.js';
import type Membership from './membership.js';
import type { ExchangeMessage, ExchangeMessageOf } from './messages.js';
import type PeerTable from './peer-table.js';
import type { PeerExchangeOptions, PeerId } from './types.js';

/** Time for the answers of all peers; the first one that knows the stream ends it. */
const ANSWER_TIMEOUT_MS: Millis = 60;

/** Bounds the questions of a VM with many links. */
const MAX_ASKED_PEERS = 16;

/** Dependencies of `OriginExchange`. */
export interface OriginExchangeOptions extends Pick<
  PeerExchangeOptions,
  'readOrigins' | 'onOrigins' | 'readOriginEvidence'
> {
  self: PeerId;
  clock: Clock;
  timers: Timers;
  peers: PeerTable;
  /** Whether a peer may follow the same store. */
  isPossiblySameStore(peer: PeerId): boolean;
  readMembership(): Membership | undefined;
  send(peer: PeerId, message: ExchangeMessage): void;
  broadcast(message: ExchangeMessage, peers: PeerId[]): void;
}

interface PendingQuestion {
  /** Peers whose answers are outstanding. */
  asked: Set<PeerId>;
  answers: OriginEvidence[];
  cancelTimer: CancelTimer;
  receive(answers: OriginEvidence[]): void;
}

/** Messages about the origins of streams. */
export type OriginMessage = ExchangeMessageOf<'origins' | 'want-origin' | 'give-origin'>;

/** Connects the origins of streams to peers. */
export default class OriginExchange {
  private readonly pending = new Map<number, PendingQuestion>();
  private lastNumber = 0;

  constructor(private readonly options: OriginExchangeOptions) {}

  /**
   * Tells peers: all of a small fleet, and a few that each stream's id selects in a large one.
   * @returns the number of peers that were told
   */
  publish(origins: StreamOrigin[]): number {
    const byPeer = new Map<PeerId, StreamOrigin[]>();
    for (const origin of origins) {
      for (const peer of this.listHolders(origin.streamId)) {
        byPeer.set(peer, [...(byPeer.get(peer) ?? []), origin]);
      }
    }
    byPeer.forEach((told, peer) => this.options.send(peer, composeOrigins(told)));
    return byPeer.size;
  }

  /**
   * Asks peers about a stream. `receive` is called once, at once if there is no peer to ask.
   * @returns a function that cancels the question
   */
  ask({ streamId, service }: StreamKey, receive: (answers: OriginEvidence[]) => void): () => void {
    const peers = this.listInformed();
    if (peers.length === 0) {
      receive([]);
      return () => undefined;
    }
    this.lastNumber += 1;
    const number = this.lastNumber;
    const cancelTimer = this.options.timers.after(ANSWER_TIMEOUT_MS, () => this.finish(number));
    this.pending.set(number, { asked: new Set(peers), answers: [], cancelTimer, receive });
    this.options.broadcast({ kind: 'want-origin', number, id: streamId, service }, peers);
    return () => this.close(number);
  }

  /** Whether this VM is the one of the linked VMs that writes a stream to the store. */
  isWriterOf(streamId: string): boolean {
    const { self } = this.options;
    const candidates = this.listCandidates();
    const writers =
      candidates === undefined
        ? [self, ...this.listLinked()].sort()
        : chooseOriginHolders(streamId, candidates);
    return writers.find((peer) => peer === self || this.isLinked(peer)) === self;
  }

  /** The number of VMs that may be writers at the same time. */
  countWriters(): number {
    return this.listCandidates()?.length ?? 1;
  }

  /** Tells a newly linked peer of the streams that this VM served. */
  onLinked(peer: PeerId): void {
    const origins = this.options
      .readOrigins()
      .filter(({ streamId }) => this.listHolders(streamId).includes(peer));
    if (origins.length > 0) {
      this.options.send(peer, composeOrigins(origins));
    }
  }

  onPeerLost(peer: PeerId): void {
    [...this.pending.keys()].forEach((number) => this.onNoAnswerLeft(number, peer));
  }

  onMessage(peer: PeerId, message: OriginMessage): void {
    if (!this.options.isPossiblySameStore(peer)) {
      return;
    }
    switch (message.kind) {
      case 'origins':
        this.options.onOrigins(message.streams.map(toOrigin));
        break;
      case 'want-origin':
        this.answer(peer, message);
        break;
      case 'give-origin':
        this.onAnswer(peer, message);
        break;
    }
  }

  private answer(peer: PeerId, { number, id, service }: ExchangeMessageOf<'want-origin'>): void {
    const evidence = this.options.readOriginEvidence({ streamId: id, service });
    const { softwareVersion, versions, completeAgoMs } = evidence;
    this.options.send(peer, {
      ...{ kind: 'give-origin', number, version: softwareVersion ?? null, isFresh: false },
      completeAgoMs: completeAgoMs === undefined ? null : Math.round(completeAgoMs),
      versions: versions.map((seen) => ({
        version: seen.softwareVersion,
        agoMs: Math.round(seen.agoMs),
      })),
    });
  }

  private onAnswer(peer: PeerId, message: ExchangeMessageOf<'give-origin'>): void {
    const { number, version, versions, completeAgoMs } = message;
    const question = this.pending.get(number);
    if (question?.asked.has(peer) !== true) {
      return;
    }
    question.answers.push({
      softwareVersion: version ?? undefined,
      completeAgoMs: completeAgoMs ?? undefined,
      versions: versions.map((seen) => ({ softwareVersion: seen.version, agoMs: seen.agoMs })),
    });
    if (version === null) {
      this.onNoAnswerLeft(number, peer);
    } else {
      this.finish(number);
    }
  }

  private onNoAnswerLeft(number: number, peer: PeerId): void {
    const question = this.pending.get(number);
    if (question?.asked.delete(peer) === true && question.asked.size === 0) {
      this.finish(number);
    }
  }

  private finish(number: number): void {
    const question = this.pending.get(number);
    this.close(number);
    question?.receive(question.answers);
  }

  private close(number: number): void {
    this.pending.get(number)?.cancelTimer();
    this.pending.delete(number);
  }

  /** The linked peers that are told of a stream. */
  private listHolders(streamId: string): PeerId[] {
    const { self } = this.options;
    const candidates = this.listCandidates();
    const holders =
      candidates === undefined ? this.listLinked() : chooseOriginHolders(streamId, candidates);
    return holders.filter((peer) => peer !== self && this.isLinked(peer));
  }

  /** Linked peers that may know a stream: the holders of a large fleet first, then any other. */
  private listInformed(): PeerId[] {
    const peers = new Set([...(this.listCandidates() ?? []), ...this.listLinked()]);
    return [...peers].filter((peer) => this.isLinked(peer)).slice(0, MAX_ASKED_PEERS);
  }

  /** The VMs to which all VMs of a large fleet are linked; undefined in a small one. */
  private listCandidates(): PeerId[] | undefined {
    const members = this.options.readMembership();
    return members?.isLargeFleet === true
      ? [...new Set([...members.schedulers.flat(), ...members.dutyCandidates])]
      : undefined;
  }

  private listLinked(): PeerId[] {
    return this.options.peers.list();
  }

  private isLinked(peer: PeerId): boolean {
    const { peers, isPossiblySameStore } = this.options;
    return peers.get(peer) !== undefined && isPossiblySameStore(peer);
  }
}

function composeOrigins(origins: StreamOrigin[]): ExchangeMessage {
  return {
    kind: 'origins',
    streams: origins.map(({ streamId, service, softwareVersion, leftMs }) => ({
      ...{ id: streamId, service, version: softwareVersion },
      leftMs: Math.round(leftMs),
    })),
  };
}

function toOrigin({
  id,
  service,
  version,
  leftMs,
}: ExchangeMessageOf<'origins'>['streams'][number]): StreamOrigin {
  return { streamId: id, service, softwareVersion: version, leftMs };
}
