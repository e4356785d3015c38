/** Waits in tests for a condition. */
import { delay, systemTimers } from '@limelead/types';

const CHECK_MS = 10;
const LIMIT_MS = 10_000;

/** Resolves once the condition holds. Rejects after 10 s, so that a failed test does not hang. */
export default async function waitUntil(holds: () => boolean): Promise<void> {
  for (let waitedMs = 0; !holds(); waitedMs += CHECK_MS) {
    if (waitedMs >= LIMIT_MS) {
      throw new Error(`the condition did not hold within ${LIMIT_MS} ms: ${holds.toString()}`);
    }
    await delay(systemTimers, CHECK_MS);
  }
}
