import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { hashText, mixHashes } from './index.js';

test('mixed hashes spread sessions evenly over targets, and only sessions of a removed target move', () => {
  const targets = Array.from({ length: 20 }, (_, index) => hashText(`target ${index}`));
  const choose = (session: number, among: number[]): number =>
    among.reduce((best, target) =>
      mixHashes(session, target) > mixHashes(session, best) ? target : best,
    );
  const sessions = Array.from({ length: 4_000 }, (_, index) => hashText(`session ${index}`));
  const counts = new Map<number, number>();
  let moved = 0;
  for (const session of sessions) {
    const chosen = choose(session, targets);
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
    moved += choose(session, targets.slice(1)) === chosen ? 0 : 1;
  }
  assert.ok(Math.min(...counts.values()) > 140 && Math.max(...counts.values()) < 270);
  assert.is(moved, counts.get(targets[0]!));
});

test('mixing depends on the order of the hashes and is deterministic', () => {
  const [a, b] = [hashText('a'), hashText('b')];
  assert.is(mixHashes(a, b), mixHashes(a, b));
  assert.is.not(mixHashes(a, b), mixHashes(b, a));
});

test.run();
