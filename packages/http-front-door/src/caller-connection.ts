/**
 * The requests of one connection whose answers are not complete. Node reads pipelined requests at
 * once and emits no `close` for an answer that waits behind another one when the connection closes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { countHeadBytes } from './check-head.js';

/** A request whose answer is not complete. */
interface UnansweredRequest {
  message: IncomingMessage;
  /** Bytes of its head while it waits behind another request, otherwise 0. */
  waitingBytes: number;
  /** Forwards the request; set while it waits for its turn. */
  proceed?: () => void;
}

/**
 * Lets the requests of a connection take turns, and closes the answers that wait on it together with
 * it. Beyond a limit on requests that wait, whatever follows is discarded, and the connection closes
 * after the answers before it. Pausing it instead would hide that the caller leaves.
 */
export default class CallerConnection {
  /** In order of arrival. */
  private readonly requests = new Map<ServerResponse, UnansweredRequest>();
  private waitingBytes = 0;
  private isDiscarding = false;
  /** Called once all requests that were read whole are answered. */
  private onAnswered: (() => void) | undefined;

  /** @param maxWaitingBytes returns the limit on the heads of requests that wait */
  constructor(
    private readonly socket: Socket,
    private readonly maxWaitingBytes: () => number,
  ) {
    socket.once('close', () => [...this.requests.keys()].forEach(closeWaiting));
  }

  /**
   * Adds a request; its answer emits `close` when it is complete or the connection closes.
   * @returns whether the request is to be handled; otherwise it is discarded
   */
  add(message: IncomingMessage, response: ServerResponse): boolean {
    const isWaiting = this.requests.size > 0;
    const waitingBytes = isWaiting ? countHeadBytes(message.rawHeaders, message.url ?? '') : 0;
    if (this.isDiscarding || this.waitingBytes + waitingBytes > this.maxWaitingBytes()) {
      message.resume();
      this.discardRest();
      return false;
    }
    this.requests.set(response, { message, waitingBytes });
    this.waitingBytes += waitingBytes;
    response.once('close', () => this.remove(response));
    return true;
  }

  /**
   * Runs once the answers ahead of this one are complete, at once if there are none, and never if
   * one of them closes the connection.
   */
  awaitTurn(response: ServerResponse, proceed: () => void): void {
    const request = this.requests.get(response);
    if (request !== undefined) {
      request.proceed = proceed;
      this.startFirst();
    }
  }

  /**
   * Runs once all requests that were read whole are answered, at once if there are none, and never
   * if the connection closes before. While one waits, later ones are ignored.
   * @returns whether none waits
   */
  whenAnswered(run: () => void): boolean {
    this.onAnswered ??= run;
    this.notifyAnswered();
    return this.onAnswered === undefined;
  }

  private remove(response: ServerResponse): void {
    this.waitingBytes -= this.requests.get(response)?.waitingBytes ?? 0;
    this.requests.delete(response);
    this.startFirst();
    this.notifyAnswered();
  }

  private startFirst(): void {
    const [first] = this.requests.values();
    if (first === undefined || !this.socket.writable) {
      return;
    }
    const { proceed } = first;
    this.waitingBytes -= first.waitingBytes;
    first.waitingBytes = 0;
    first.proceed = undefined;
    proceed?.();
  }

  private discardRest(): void {
    if (this.isDiscarding) {
      return;
    }
    this.isDiscarding = true;
    this.whenAnswered(() => this.socket.destroySoon());
    // The parser must not lose the connection while it calls back.
    process.nextTick(() => this.socket.removeAllListeners('data').on('data', () => undefined));
  }

  private notifyAnswered(): void {
    const { onAnswered } = this;
    if (onAnswered === undefined || this.socket.destroyed) {
      return;
    }
    if (![...this.requests.values()].some(({ message }) => message.complete)) {
      this.onAnswered = undefined;
      onAnswered();
    }
  }
}

function closeWaiting(response: ServerResponse): void {
  if (response.socket === null) {
    response.destroy();
    response.emit('close');
  }
}
