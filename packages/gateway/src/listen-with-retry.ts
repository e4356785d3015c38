/** Listens, also where another process holds the address for now. */
import type { DecisionLog } from '@limelead/decision-log';
import { delay, type Millis, type Timers } from '@limelead/types';

/** Pause between two tries; the one that holds the address may be about to end. */
const RETRY_INTERVAL_MS: Millis = 1_000;

/**
 * Tries until it listens: a process that ended for a taken address would only be started
 * again, to end again. Any other error is thrown.
 * @param door names the address in the lines
 */
export default async function listenWithRetry<Listening>(
  { log, timers }: { log: Pick<DecisionLog, 'write'>; timers: Timers },
  door: string,
  listen: () => Promise<Listening>,
): Promise<Listening> {
  for (;;) {
    try {
      return await listen();
    } catch (thrown) {
      if ((thrown as NodeJS.ErrnoException).code !== 'EADDRINUSE') {
        throw thrown;
      }
      log.write('address-taken', { door, reason: String(thrown), pauseMs: RETRY_INTERVAL_MS });
      await delay(timers, RETRY_INTERVAL_MS);
    }
  }
}
