/** Opens TCP connections with a bound on the time that a silent peer may take. */
import { connect, type Socket } from 'node:net';
import type { buildConnector } from 'undici';

/** Keep-alive probes find peers that vanished without a word. */
const KEEP_ALIVE_DELAY_MS = 1_000;

/**
 * Creates a connector that gives up after the given time. `onBroken` is called
 * when the connection ends with an error, before the HTTP library hears of it.
 */
export default function createConnector(
  timeoutMs: number,
  onBroken: () => void = () => undefined,
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket: Socket = connect({ host: hostname, port: Number(port), noDelay: true });
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    const timer = setTimeout(() => socket.destroy(new Error('connect timed out')), timeoutMs);
    const onError = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', onError);
      socket.on('error', onBroken);
      socket.on('end', () => {
        // A reset that comes together with data is told as a plain end; but after
        // a reset the system knows the peer's address no more.
        if (socket.remoteAddress === undefined) {
          onBroken();
        }
      });
      callback(null, socket);
    });
  };
}
