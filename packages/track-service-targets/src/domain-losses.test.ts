import { test } from 'uvu';
import * as assert from 'uvu/assert';
import DomainLosses from './domain-losses.js';

test('a small domain is doubted after two losses of one moment', () => {
  const losses = new DomainLosses();
  losses.note('north', 'a', 1_000);
  losses.note('north', 'a', 1_100);
  assert.not(losses.isDoubtful('north', 6, 500));
  losses.note('north', 'b', 1_200);
  assert.ok(losses.isDoubtful('north', 6, 500));
  assert.not(losses.isDoubtful('north', 6, 1_150));
  assert.not(losses.isDoubtful('south', 6, 500));
});

test('a few losses among many targets say nothing of the rest', () => {
  const losses = new DomainLosses();
  for (let index = 0; index < 9; index += 1) {
    losses.note('north', `t${index}`, 1_000);
  }
  assert.not(losses.isDoubtful('north', 94, 500));
  losses.note('north', 't9', 1_000);
  assert.ok(losses.isDoubtful('north', 94, 500));
  losses.forget('north', 't9');
  assert.not(losses.isDoubtful('north', 94, 500));
});

test.run();
