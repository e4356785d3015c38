/** Opens TCP connections with a timeout. */
import type { buildConnector } from 'undici';
import HttpSocket, { type ReadPacing, type TakenBytes } from './http-socket.js';

/** Delay of TCP keep-alive probes, which detect peers that disappeared. */
const KEEP_ALIVE_DELAY_MS = 1_000;

/** Events of a connection. */
export interface ConnectionEvents {
  /** The connection opened, or failed to within the timeout. */
  onOpened?(isOpen: boolean): void;
  /** The connection was reset but seems to end; called before the HTTP library handles the end. */
  onBroken?(): void;
  taken?: TakenBytes;
  /** Creates the pacing of a socket. Default: none. */
  createPacing?(): ReadPacing;
}

/** For errors while the library does not listen. */
const ignore = (): void => undefined;

/** Creates a connector with a connect timeout. */
export default function createConnector(
  timeoutMs: number,
  events: ConnectionEvents = {},
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = new HttpSocket(events.taken, events.createPacing?.());
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    socket.connect({ host: hostname, port: Number(port) });
    const timer = setTimeout(() => socket.destroy(new Error('connect timed out')), timeoutMs);
    const onError = (error: Error): void => {
      clearTimeout(timer);
      events.onOpened?.(false);
      callback(error, null);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', onError);
      events.onOpened?.(true);
      socket.on('error', ignore);
      socket.on('end', () => {
        // A reset that arrives together with data is reported as a normal end, but the socket
        // then has no remote address.
        if (socket.remoteAddress === undefined) {
          events.onBroken?.();
        }
      });
      callback(null, socket);
    });
  };
}
