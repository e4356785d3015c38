/**
 * The answers of each connection that are not complete. Node reads pipelined requests at once and
 * emits no `close` for an answer that waits behind another one when their connection closes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Closes the answers that wait on a connection together with it. */
export default class CallerConnections {
  private readonly answers = new WeakMap<Socket, Set<ServerResponse>>();

  /** Adds the answer to a request; it emits `close` when it is complete or its connection closes. */
  add({ socket }: IncomingMessage, response: ServerResponse): void {
    const answers = this.answers.get(socket) ?? this.open(socket);
    answers.add(response);
    response.once('close', () => answers.delete(response));
  }

  private open(socket: Socket): Set<ServerResponse> {
    const answers = new Set<ServerResponse>();
    this.answers.set(socket, answers);
    socket.once('close', () => answers.forEach(closeWaiting));
    return answers;
  }
}

function closeWaiting(response: ServerResponse): void {
  if (response.socket === null) {
    response.destroy();
    response.emit('close');
  }
}
