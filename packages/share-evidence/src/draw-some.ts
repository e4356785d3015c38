/** Draws some entries of a list, beginning at a random place and going round. */
import type { Random } from '@limelead/types';

/** Gives at most `count` entries; each is drawn equally often. */
export default function drawSome<Entry>(
  entries: readonly Entry[],
  count: number,
  random: Random,
): Entry[] {
  const start = Math.floor(random.next() * entries.length);
  return [...entries.slice(start), ...entries.slice(0, start)].slice(0, count);
}
