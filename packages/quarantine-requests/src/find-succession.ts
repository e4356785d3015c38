/** Which of a request's strikes followed one another. */
import type { Millis } from '@limelead/types';
import type { Strike } from './case-book.js';

/**
 * A strike that another VM told seems to have ended later than it did, by the time that the news
 * were under way, in milliseconds: they pass a link or two and a busy process.
 */
const NEWS_TRAVEL_MS: Millis = 50;
/** Part of a run that may lie before the end of the one before, for the same reason. */
const MOST_OVERLAP = 0.5;

/**
 * The longest series of strikes of which each run began when the one before had ended its target.
 *
 * When a failure domain goes, all runs of a much-used request that stand there end at once;
 * they were begun before the first of them ended and count as one. A request that ends its
 * targets does it again each time that it is begun.
 */
export default function findSuccession(strikes: Iterable<Strike>): Strike[] {
  const series: Strike[] = [];
  // Of intervals, always taking the one that ends first leaves room for the most.
  const inOrder = [...strikes].sort((a, b) => a.endedAtMs - b.endedAtMs);
  for (const strike of inOrder) {
    const lastEndedAtMs = series.at(-1)?.endedAtMs ?? -Infinity;
    if (lastEndedAtMs - strike.startedAtMs <= computeLeeway(strike)) {
      series.push(strike);
    }
  }
  return series;
}

function computeLeeway({ startedAtMs, endedAtMs }: Strike): Millis {
  return Math.min(NEWS_TRAVEL_MS, (endedAtMs - startedAtMs) * MOST_OVERLAP);
}
