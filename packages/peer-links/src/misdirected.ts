/**
 * What a request gets that came to a door of this VM where callers have no business, because
 * an address is old or was given to another process. It was not run, and its sender may go
 * on elsewhere; a 404 would say that its route is unknown, and end it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

const MISDIRECTED = 421;

/** Answers it; its connection is closed, since nothing else on it belongs here. */
export default function answerMisdirected(
  message: IncomingMessage,
  response: ServerResponse,
): void {
  message.resume();
  response.writeHead(MISDIRECTED, { 'Content-Length': 0, Connection: 'close' }).end();
}
