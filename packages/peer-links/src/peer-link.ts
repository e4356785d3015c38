import type { Timers } from '@limelead/types';
import type { RawData, WebSocket } from 'ws';
import { createHello, createProof, isSameProof, type LinkEnd } from './handshake.js';
import {
  decodeHandshake,
  encodeHandshake,
  PROTOCOL_VERSION,
  type HandshakeMessage,
  type MessageFormat,
} from './messages.js';

const HANDSHAKE_TIMEOUT_MS = 2_000;
/**
 * Maximum bytes queued for a slow peer. Above it expendable messages are dropped, and any other
 * message closes the link.
 */
const MAX_QUEUED_BYTES = 4 * 1024 * 1024;

type Hello = Extract<HandshakeMessage, { kind: 'hello' }>;

/** Events of a link. */
export interface PeerLinkEvents<Message> {
  /** Called after the peer proved that it knows the secret. */
  onReady(link: PeerLink<Message>): void;
  onMessage(link: PeerLink<Message>, message: Message): void;
  onClosed(link: PeerLink<Message>): void;
  onMessageDropped(): void;
}

/** Settings and dependencies of a `PeerLink`. */
export interface PeerLinkOptions<Message> {
  socket: WebSocket;
  end: LinkEnd;
  id: string;
  incarnation: string;
  secret: string;
  timers: Timers;
  events: PeerLinkEvents<Message>;
  format: MessageFormat<Message>;
}

/** One link to one peer, from its handshake until it is closed. */
export default class PeerLink<Message> {
  /** Empty until the peer's first message. */
  peerId = '';
  peerIncarnation = '';
  isReady = false;
  private readonly ownHello: Hello;
  private peerHello: Hello | undefined;

  constructor(private readonly options: PeerLinkOptions<Message>) {
    const { socket, id, incarnation, timers } = options;
    this.ownHello = createHello(id, incarnation);
    socket.on('message', (data: RawData) => this.onData(toBuffer(data)));
    socket.on('close', () => options.events.onClosed(this));
    socket.on('error', () => socket.terminate());
    if (socket.readyState === socket.OPEN) {
      this.sendHello();
    } else {
      socket.once('open', () => this.sendHello());
    }
    timers.after(HANDSHAKE_TIMEOUT_MS, () => {
      if (!this.isReady) {
        this.close();
      }
    });
  }

  /** Which end of the link this VM is. */
  get end(): LinkEnd {
    return this.options.end;
  }

  /**
   * Sends a message; drops it or closes the link if the peer is too slow.
   * @param bytes the encoded message, if several peers get the same
   */
  send(message: Message, bytes?: Uint8Array): void {
    const { socket, events, format } = this.options;
    if (!this.isReady || socket.readyState !== socket.OPEN) {
      return;
    }
    if (socket.bufferedAmount > MAX_QUEUED_BYTES) {
      events.onMessageDropped();
      if (!format.isExpendable(message)) {
        this.close();
      }
      return;
    }
    socket.send(bytes ?? format.encode(message));
  }

  /** Closes the link at once. */
  close(): void {
    this.options.socket.terminate();
  }

  private sendHello(): void {
    this.options.socket.send(encodeHandshake(this.ownHello));
  }

  private onData(bytes: Buffer): void {
    if (!this.isReady) {
      return this.onHandshake(decodeHandshake(bytes));
    }
    const message = this.options.format.decode(bytes);
    if (message === undefined) {
      return this.close();
    }
    this.options.events.onMessage(this, message);
  }

  private onHandshake(message: HandshakeMessage | undefined): void {
    if (message?.kind === 'hello' && message.version === PROTOCOL_VERSION) {
      return this.onHello(message);
    }
    if (message?.kind === 'proof' && this.peerHello !== undefined) {
      return this.onProof(message.mac, this.peerHello);
    }
    this.close();
  }

  private onHello(hello: Hello): void {
    this.peerHello = hello;
    this.peerId = hello.id;
    this.peerIncarnation = hello.incarnation;
    const mac = this.computeProof(this.options.end, hello);
    this.options.socket.send(encodeHandshake({ kind: 'proof', mac }));
  }

  private onProof(mac: string, hello: Hello): void {
    const otherEnd: LinkEnd = this.options.end === 'opener' ? 'acceptor' : 'opener';
    if (!isSameProof(this.computeProof(otherEnd, hello), mac)) {
      return this.close();
    }
    this.isReady = true;
    this.options.events.onReady(this);
  }

  private computeProof(prover: LinkEnd, peerHello: Hello): string {
    const { secret, end } = this.options;
    return end === 'opener'
      ? createProof(secret, prover, this.ownHello, peerHello)
      : createProof(secret, prover, peerHello, this.ownHello);
  }
}

function toBuffer(data: RawData): Buffer {
  if (Buffer.isBuffer(data)) {
    return data;
  }
  return Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data);
}
