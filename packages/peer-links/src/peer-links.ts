/** All links of one VM: accepts peers, opens links to chosen ones, opens them again when they break. */
import type { Timers, VmId } from '@limelead/types';
import { createServer, type IncomingMessage } from 'node:http';
import { WebSocket, WebSocketServer } from 'ws';
import connectWithTimeout from './connect-with-timeout.js';
import type { MessageFormat } from './messages.js';
import answerMisdirected from './misdirected.js';
import PeerLink, { type PeerLinkEvents } from './peer-link.js';

/** Largest message: an item of the store, 1 MiB at most, with what is told beside it. */
const MAX_MESSAGE_BYTES = 2 * 1_048_576;
/** Time for a connection and the switch to messages, at a peer that many others meet as well. */
const HANDSHAKE_TIMEOUT_MS = 1_000;

/** Where a peer listens. */
export interface PeerAddress {
  id: VmId;
  host: string;
  port: number;
}

/** What the links need. */
export interface PeerLinksOptions<Message> {
  id: VmId;
  incarnation: string;
  secret: string;
  host: string;
  /** 0 takes any free port. */
  port: number;
  timers: Timers;
  format: MessageFormat<Message>;
  onReady(peer: VmId): void;
  onMessage(peer: VmId, message: Message): void;
  onLinkLost(peer: VmId): void;
  onMessageDropped(): void;
  /** A plain request came to the peers' address; it was told that it was not run. */
  onMisdirected?(message: IncomingMessage): void;
}

/** The links of one VM. */
export interface PeerLinks<Message> {
  /** Port on which peers are accepted. */
  port: number;
  /** Opens links to those peers to which there is none. */
  open(peers: PeerAddress[]): void;
  send(peer: VmId, message: Message): boolean;
  /** Sends one message to several peers, all that are linked unless they are named; encoded once. */
  broadcast(message: Message, peers?: readonly VmId[]): void;
  /** Ends a link; it may be opened again. */
  disconnect(peer: VmId): void;
  listLinked(): VmId[];
  /** Peers whose link this VM opened. */
  listOpened(): VmId[];
  close(): Promise<void>;
}

/** Starts to accept peers. */
export default async function createPeerLinks<Message>(
  options: PeerLinksOptions<Message>,
): Promise<PeerLinks<Message>> {
  const http = createServer((message, response) => {
    options.onMisdirected?.(message);
    answerMisdirected(message, response);
  });
  const server = new WebSocketServer({
    server: http,
    maxPayload: MAX_MESSAGE_BYTES,
    perMessageDeflate: false,
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    http.listen({ host: options.host, port: options.port }, resolve);
  });
  const ready = new Map<VmId, PeerLink<Message>>();
  const opening = new Set<VmId>();
  const all = new Set<PeerLink<Message>>();
  let isClosed = false;

  const events: PeerLinkEvents<Message> = {
    onReady(link) {
      opening.delete(link.peerId);
      const existing = ready.get(link.peerId);
      if (existing !== undefined && !replaces(options.id, link, existing)) {
        link.close();
        return;
      }
      ready.set(link.peerId, link);
      existing?.close();
      options.onReady(link.peerId);
    },
    onMessage(link, message) {
      if (ready.get(link.peerId) === link) {
        options.onMessage(link.peerId, message);
      }
    },
    onClosed(link) {
      all.delete(link);
      if (ready.get(link.peerId) === link) {
        ready.delete(link.peerId);
        options.onLinkLost(link.peerId);
      }
    },
    onMessageDropped: options.onMessageDropped,
  };

  const createLink = (socket: WebSocket, end: 'opener' | 'acceptor'): void => {
    const { id, incarnation, secret, timers, format } = options;
    all.add(new PeerLink({ socket, end, id, incarnation, secret, timers, events, format }));
  };

  server.on('connection', (socket) => createLink(socket, 'acceptor'));

  function open(peers: PeerAddress[]): void {
    for (const { id, host, port } of peers) {
      if (isClosed || id === options.id || ready.has(id) || opening.has(id)) {
        continue;
      }
      opening.add(id);
      const socket = new WebSocket(`ws://${host}:${port}`, {
        maxPayload: MAX_MESSAGE_BYTES,
        perMessageDeflate: false,
        handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
        createConnection: () => connectWithTimeout({ host, port }, options.timers),
      });
      socket.once('close', () => opening.delete(id));
      createLink(socket, 'opener');
    }
  }

  return {
    open,
    port: portOf(server),
    send(peer, message) {
      const link = ready.get(peer);
      link?.send(message);
      return link !== undefined;
    },
    broadcast(message, peers = [...ready.keys()]) {
      if (peers.length > 0) {
        const bytes = options.format.encode(message);
        peers.forEach((peer) => ready.get(peer)?.send(message, bytes));
      }
    },
    disconnect: (peer) => ready.get(peer)?.close(),
    listLinked: () => [...ready.keys()],
    listOpened: () => [...ready].filter(([, { end }]) => end === 'opener').map(([peer]) => peer),
    async close() {
      isClosed = true;
      all.forEach((link) => link.close());
      server.close();
      http.closeAllConnections();
      await new Promise<void>((resolve) => http.close(() => resolve()));
    },
  };
}

/**
 * Two VMs may open links to each other at the same time. Both keep the one
 * that the smaller id opened; a new incarnation always replaces an old link.
 */
function replaces<Message>(
  self: VmId,
  candidate: PeerLink<Message>,
  existing: PeerLink<Message>,
): boolean {
  if (candidate.peerIncarnation !== existing.peerIncarnation) {
    return true;
  }
  const openerOf = (link: PeerLink<Message>): VmId => (link.end === 'opener' ? self : link.peerId);
  const smaller = self < candidate.peerId ? self : candidate.peerId;
  return openerOf(candidate) === smaller;
}

function portOf(server: WebSocketServer): number {
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
}
