import type { Timers } from '@limelead/types';
import { createConnection, type Socket, type TcpNetConnectOpts } from 'node:net';

/**
 * Timeout of a connection attempt in milliseconds. It is shorter than the second after which the
 * operating system retransmits a lost packet; without it, VMs that restarted after a power loss
 * reached their seeds 1.0 s late and received load reports 2.4 s after the first process started.
 * The most distant VMs of a fleet are a tenth of the timeout apart. The handshake that follows has
 * its own, longer timeout.
 */
const CONNECT_TIMEOUT_MS = 300;

/** Opens a TCP connection as `net` does, and destroys the socket if it is not connected in time. */
export default function connectWithTimeout(options: TcpNetConnectOpts, timers: Timers): Socket {
  const socket = createConnection(options);
  const destroyIfConnecting = (): void => {
    if (socket.connecting) {
      socket.destroy(new Error('connection to the peer timed out'));
    }
  };
  // After a blocked event loop the connection may be up although its event is still pending.
  const cancel = timers.after(CONNECT_TIMEOUT_MS, () => setImmediate(destroyIfConnecting));
  socket.once('connect', cancel);
  socket.once('close', cancel);
  return socket;
}
