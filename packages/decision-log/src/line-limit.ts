/** Writes lines of one event up to so many a second, so that a flood does not push out all others. */
import type { Clock, Millis } from '@limelead/types';
import type { DecisionLog, LogFields } from './index.js';

const SECOND_MS: Millis = 1_000;

/** Takes the lines of one event. */
export type LimitedLines = (fields: LogFields) => void;

/** Creates it. A line behind some that were not written says in `unwritten` how many. */
export default function createLineLimit(
  log: Pick<DecisionLog, 'write'>,
  clock: Clock,
  mostPerSecond: number,
  event: string,
): LimitedLines {
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
