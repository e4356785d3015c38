/** Opens a server and retries while another process uses its address. */
import type { DecisionLog } from '@limelead/decision-log';
import { delay, type Millis, type Timers } from '@limelead/types';

/** Pause between two attempts to listen. */
const RETRY_INTERVAL_MS: Millis = 1_000;

/**
 * Retries until the address is free, instead of exiting into a restart loop. Throws any
 * other error.
 * @param listener the server's name in log lines
 */
export default async function listenWithRetry<Listening>(
  { log, timers }: { log: Pick<DecisionLog, 'write'>; timers: Timers },
  listener: string,
  listen: () => Promise<Listening>,
): Promise<Listening> {
  for (;;) {
    try {
      return await listen();
    } catch (thrown) {
      if ((thrown as NodeJS.ErrnoException).code !== 'EADDRINUSE') {
        throw thrown;
      }
      log.write('address-taken', {
        door: listener,
        reason: String(thrown),
        pauseMs: RETRY_INTERVAL_MS,
      });
      await delay(timers, RETRY_INTERVAL_MS);
    }
  }
}
