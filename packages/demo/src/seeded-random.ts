/** Deterministic random numbers from a seed. */
import type { Random } from '@limelead/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Creates a source of numbers in [0, 1); the same seed gives the same sequence. */
export default function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
}
