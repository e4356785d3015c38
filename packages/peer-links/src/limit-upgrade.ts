/** Limits the answer to the upgrade of a connection; the HTTP library reads interim answers without end. */
import type { Socket } from 'node:net';

/** Limit on the bytes of the answer, with those of the first messages behind it. */
const MAX_UPGRADE_BYTES = 64 * 1024;

/** Destroys the connection at more bytes than the limit while the upgrade is not over. */
export default function limitUpgrade(connection: Socket, isOver: () => boolean): Socket {
  const checkBytes = (): void => {
    if (isOver()) {
      connection.off('data', checkBytes);
    } else if (connection.bytesRead > MAX_UPGRADE_BYTES) {
      connection.destroy(new Error(`more than ${MAX_UPGRADE_BYTES} bytes before the upgrade`));
    }
  };
  return connection.on('data', checkBytes);
}
