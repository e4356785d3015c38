import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import GapWindow, { type MeasuredGap } from './gap-window.js';

const WINDOW_MS = 500;
const steps = fc.array(fc.record({ afterMs: fc.integer({ min: 0, max: 120 }), gap: fc.nat(90) }), {
  maxLength: 400,
});

// Guards against sums that drift or keep gaps which have expired.
test('the sums are those of the gaps of the last half second', () => {
  fc.assert(
    fc.property(steps, (all) => {
      const window = new GapWindow();
      const added: MeasuredGap[] = [];
      let now = 0;
      for (const { afterMs, gap } of all) {
        now += afterMs;
        const measured = { atMs: now, gapMs: gap, usualMs: gap / 4 + 1 };
        added.push(measured);
        window.add(measured);
        const counted = added.filter(({ atMs }) => now - atMs < WINDOW_MS);
        const sums = window.sumAt(now);
        assert.is(
          sums.gapMs,
          counted.reduce((sum, { gapMs }) => sum + gapMs, 0),
        );
        assert.is(
          sums.usualMs,
          counted.reduce((sum, { usualMs }) => sum + usualMs, 0),
        );
      }
      assert.equal(window.sumAt(now + WINDOW_MS), { gapMs: 0, usualMs: 0 });
    }),
    { seed: 20_261_203, numRuns: 200 },
  );
});

// Guards against memory that grows with the pieces of a busy target.
test('expired gaps are removed although new ones keep coming', () => {
  const window = new GapWindow();
  for (let now = 0; now < 20_000; now += 1) {
    window.add({ atMs: now, gapMs: 30, usualMs: 30 });
  }
  assert.ok(window.size < 2 * WINDOW_MS + 100, `${window.size} gaps`);
});

test.run();
