import type { Random } from '@limelead/types';

/**
 * Returns at most `count` consecutive entries from a random position, continuing at the beginning
 * of the list. Each entry is equally likely.
 */
export default function pickRandomEntries<Entry>(
  entries: readonly Entry[],
  count: number,
  random: Random,
): Entry[] {
  const start = Math.floor(random.next() * entries.length);
  return [...entries.slice(start), ...entries.slice(0, start)].slice(0, count);
}
