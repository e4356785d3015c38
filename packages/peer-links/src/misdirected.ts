/**
 * Answers requests that arrive at an address of this VM that does not serve callers, because the
 * address is outdated or was reassigned. They are not executed, so that their senders may retry
 * elsewhere; a 404 would mean that the route is unknown.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

const MISDIRECTED = 421;

/** Answers with 421 Misdirected Request and closes the connection. */
export default function answerMisdirected(
  message: IncomingMessage,
  response: ServerResponse,
): void {
  message.resume();
  response.writeHead(MISDIRECTED, { 'Content-Length': 0, Connection: 'close' }).end();
}
