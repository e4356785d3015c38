/**
 * The requests of one connection whose answers are not complete. Node reads pipelined requests at
 * once and emits no `close` for an answer that waits behind another one when the connection closes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Closes the answers that wait on a connection together with it. */
export default class CallerConnection {
  private readonly requests = new Map<ServerResponse, IncomingMessage>();
  /** Called once all requests that were read whole are answered. */
  private onAnswered: (() => void) | undefined;

  constructor(private readonly socket: Socket) {
    socket.once('close', () => [...this.requests.keys()].forEach(closeWaiting));
  }

  /** Adds a request; its answer emits `close` when it is complete or the connection closes. */
  add(message: IncomingMessage, response: ServerResponse): void {
    this.requests.set(response, message);
    response.once('close', () => this.remove(response));
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
    this.requests.delete(response);
    this.notifyAnswered();
  }

  private notifyAnswered(): void {
    const { onAnswered } = this;
    if (onAnswered === undefined || this.socket.destroyed) {
      return;
    }
    if (![...this.requests.values()].some(({ complete }) => complete)) {
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
