/** Writes lines of one event up to so many a second, so that a flood does not push out all others. */
import type { Clock, Millis } from '@limelead/types';
import type { DecisionLog, LogFields } from './index.js';

const SECOND_MS: Millis = 1_000;
/** Enough to see who or what is meant; more of the same would push out other lines. */
const MAX_LINES_PER_SECOND = 20;

/** Takes the lines of one event. */
export type RateLimitedLog = (fields: LogFields) => void;

/** Creates it. A line behind some that were not written says in `unwritten` how many. */
export default function createRateLimitedLog(
  log: Pick<DecisionLog, 'write'>,
  clock: Clock,
  event: string,
  mostPerSecond = MAX_LINES_PER_SECOND,
): RateLimitedLog {
  let begunAtMs: Millis = -Infinity;
  let written = 0;
  let unwritten = 0;
  return (fields) => {
    const now = clock.now();
    if (now - begunAtMs >= SECOND_MS) {
      begunAtMs = now;
      written = 0;
    }
    if (written >= mostPerSecond) {
      unwritten += 1;
      return;
    }
    log.write(event, unwritten === 0 ? fields : { ...fields, unwritten });
    written += 1;
    unwritten = 0;
  };
}
