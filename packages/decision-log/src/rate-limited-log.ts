/** Limits the rate of one event's lines, so that they don't displace all others. */
import type { Clock, Millis } from '@limelead/types';
import type { DecisionLog, LogFields } from './index.js';

const SECOND_MS: Millis = 1_000;
/** Default limit on the lines of one event. */
const MAX_LINES_PER_SECOND = 20;

/** Writes the lines of one event within its rate limit. */
export type RateLimitedLog = (fields: LogFields) => void;

/** Creates a rate-limited log. The first line after suppressed ones contains their number as `unwritten`. */
export default function createRateLimitedLog(
  log: Pick<DecisionLog, 'write'>,
  clock: Clock,
  event: string,
  maxPerSecond = MAX_LINES_PER_SECOND,
): RateLimitedLog {
  let windowStartedAtMs: Millis = -Infinity;
  let written = 0;
  let unwritten = 0;
  return (fields) => {
    const now = clock.now();
    if (now - windowStartedAtMs >= SECOND_MS) {
      windowStartedAtMs = now;
      written = 0;
    }
    if (written >= maxPerSecond) {
      unwritten += 1;
      return;
    }
    log.write(event, unwritten === 0 ? fields : { ...fields, unwritten });
    written += 1;
    unwritten = 0;
  };
}
