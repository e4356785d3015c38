/** Backoff for attempts of a call that reach nobody, such as refused connections. */
import { hashText, type Millis } from '@limelead/types';

/** Attempts before the first delay, so that other targets are tried at once. */
const IMMEDIATE_ATTEMPTS = 3;
const FIRST_DELAY_MS: Millis = 25;
const MAX_DELAY_MS: Millis = 200;

/**
 * Returns the delay before the next attempt, half of which is jitter.
 * @param unsentAttempts attempts of the request that have reached nobody
 */
export default function computeUnsentDelayMs(requestId: string, unsentAttempts: number): Millis {
  if (unsentAttempts < IMMEDIATE_ATTEMPTS) {
    return 0;
  }
  const doublings = unsentAttempts - IMMEDIATE_ATTEMPTS;
  const delayMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** doublings);
  const jitter = (hashText(`${requestId} ${unsentAttempts}`) % 1_000) / 1_000;
  return delayMs * (0.5 + jitter / 2);
}
