/** Draws of a seeded test. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const SKIPPED_DRAWS = 20;

/** Draws from a sequence that its seed determines. */
export default class SeededDraws {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    // The first numbers of close seeds are alike.
    for (let skipped = 0; skipped < SKIPPED_DRAWS; skipped += 1) {
      this.next();
    }
  }

  /** Returns a number from 0 to 1, exclusive. */
  next(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns an integer from 0 to `exclusiveMax`, exclusive. */
  below(exclusiveMax: number): number {
    return Math.floor(this.next() * exclusiveMax);
  }

  isWithin(share: number): boolean {
    return this.next() < share;
  }

  pick<Item>(items: readonly Item[]): Item {
    return items[this.below(items.length)] as Item;
  }
}
