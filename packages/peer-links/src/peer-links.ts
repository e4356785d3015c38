import type { Timers, VmId } from '@limelead/types';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { WebSocket, WebSocketServer } from 'ws';
import connectWithTimeout from './connect-with-timeout.js';
import limitUpgrade from './limit-upgrade.js';
import type { MessageFormat } from './messages.js';
import answerMisdirected from './misdirected.js';
import PeerLink, { type PeerLinkEvents } from './peer-link.js';

/** Maximum size of a message: an item of the store, at most 1 MiB, with other fields. */
const MAX_MESSAGE_BYTES = 2 * 1_048_576;
/** Maximum size of the head of a plain request. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Timeout of a connection and its upgrade to WebSocket, which allows for a busy peer. */
const HANDSHAKE_TIMEOUT_MS = 1_000;

/** Address at which a peer listens. */
export interface PeerAddress {
  id: VmId;
  host: string;
  port: number;
}

/** Settings and event handlers of the links. */
export interface PeerLinksOptions<Message> {
  id: VmId;
  incarnation: string;
  secret: string;
  host: string;
  /** 0 selects any free port. */
  port: number;
  timers: Timers;
  format: MessageFormat<Message>;
  onReady(peer: VmId): void;
  onMessage(peer: VmId, message: Message): void;
  onLinkLost(peer: VmId): void;
  onMessageDropped(): void;
  /** Takes over a plain HTTP request at the address for peers; returns false to leave it. */
  onRequest?(message: IncomingMessage, response: ServerResponse): boolean;
  /** Called when such a request is left; it is not executed. */
  onMisdirected?(message: IncomingMessage): void;
}

/** All links of one VM. */
export interface PeerLinks<Message> {
  /** Port on which peers are accepted. */
  port: number;
  /** Opens links to those of the peers that are not linked. */
  open(peers: PeerAddress[]): void;
  send(peer: VmId, message: Message): boolean;
  /** Sends one message, encoded once, to the given peers or to all linked peers. */
  broadcast(message: Message, peers?: readonly VmId[]): void;
  /** Closes the link to a peer; it may be opened again. */
  disconnect(peer: VmId): void;
  listLinked(): VmId[];
  /** Peers whose link this VM opened. */
  listOpened(): VmId[];
  close(): Promise<void>;
}

/** Starts to accept links from peers. */
export default async function createPeerLinks<Message>(
  options: PeerLinksOptions<Message>,
): Promise<PeerLinks<Message>> {
  const http = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (message, response) => {
    if (options.onRequest?.(message, response) !== true) {
      options.onMisdirected?.(message);
      answerMisdirected(message, response);
    }
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
  const readyLinks = new Map<VmId, PeerLink<Message>>();
  const openingPeers = new Set<VmId>();
  const allLinks = new Set<PeerLink<Message>>();
  let isClosed = false;

  const events: PeerLinkEvents<Message> = {
    onReady(link) {
      openingPeers.delete(link.peerId);
      const existing = readyLinks.get(link.peerId);
      if (existing !== undefined && !shouldReplace(options.id, link, existing)) {
        link.close();
        return;
      }
      readyLinks.set(link.peerId, link);
      existing?.close();
      options.onReady(link.peerId);
    },
    onMessage(link, message) {
      if (readyLinks.get(link.peerId) === link) {
        options.onMessage(link.peerId, message);
      }
    },
    onClosed(link) {
      allLinks.delete(link);
      if (readyLinks.get(link.peerId) === link) {
        readyLinks.delete(link.peerId);
        options.onLinkLost(link.peerId);
      }
    },
    onMessageDropped: options.onMessageDropped,
  };

  const createLink = (socket: WebSocket, end: 'opener' | 'acceptor'): void => {
    const { id, incarnation, secret, timers, format } = options;
    allLinks.add(new PeerLink({ socket, end, id, incarnation, secret, timers, events, format }));
  };

  server.on('connection', (socket) => createLink(socket, 'acceptor'));

  function open(peers: PeerAddress[]): void {
    for (const { id, host, port } of peers) {
      if (isClosed || id === options.id || readyLinks.has(id) || openingPeers.has(id)) {
        continue;
      }
      openingPeers.add(id);
      let isUpgraded = false;
      const socket = new WebSocket(`ws://${host}:${port}`, {
        maxPayload: MAX_MESSAGE_BYTES,
        perMessageDeflate: false,
        handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
        createConnection: () =>
          limitUpgrade(connectWithTimeout({ host, port }, options.timers), () => isUpgraded),
      });
      socket.once('open', () => (isUpgraded = true));
      socket.once('close', () => openingPeers.delete(id));
      createLink(socket, 'opener');
    }
  }

  return {
    open,
    port: readPort(server),
    send(peer, message) {
      const link = readyLinks.get(peer);
      link?.send(message);
      return link !== undefined;
    },
    broadcast(message, peers = [...readyLinks.keys()]) {
      if (peers.length > 0) {
        const bytes = options.format.encode(message);
        peers.forEach((peer) => readyLinks.get(peer)?.send(message, bytes));
      }
    },
    disconnect: (peer) => readyLinks.get(peer)?.close(),
    listLinked: () => [...readyLinks.keys()],
    listOpened: () =>
      [...readyLinks].filter(([, { end }]) => end === 'opener').map(([peer]) => peer),
    async close() {
      isClosed = true;
      allLinks.forEach((link) => link.close());
      server.close();
      http.closeAllConnections();
      await new Promise<void>((resolve) => http.close(() => resolve()));
    },
  };
}

/**
 * Decides which of two links to a peer remains. Two VMs may open links to each other at the same
 * time; both keep the one that the smaller id opened. A new incarnation always replaces an old
 * link.
 */
function shouldReplace<Message>(
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

function readPort(server: WebSocketServer): number {
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
}
