/** Opens TCP connections that have to come up in time. */
import type { Timers } from '@limelead/types';
import { createConnection, type Socket, type TcpNetConnectOpts } from 'node:net';

/**
 * Time for a connection to a peer, in milliseconds; the most distant VMs of a fleet are a
 * tenth of that apart. A packet that was lost, to a VM that is still starting, the
 * system repeats only after a second. Without this bound the VMs of a fleet that lost power
 * met their seeds 1.0 s late and heard of each other's load 2.4 s behind the first process.
 * A peer that is reached but busy has the longer time of the whole handshake.
 */
const CONNECT_TIMEOUT_MS = 300;

/** Connects as `net` does; the socket is destroyed where it takes too long. */
export default function connectWithTimeout(options: TcpNetConnectOpts, timers: Timers): Socket {
  const socket = createConnection(options);
  const giveUp = (): void => {
    if (socket.connecting) {
      socket.destroy(new Error('the peer took no connection in time'));
    }
  };
  // On a VM that was busy the connection may be up already, and only not noticed yet.
  const cancel = timers.after(CONNECT_TIMEOUT_MS, () => setImmediate(giveUp));
  socket.once('connect', cancel);
  socket.once('close', cancel);
  return socket;
}
