import { test } from 'uvu';
import * as assert from 'uvu/assert';
import DomainLosses from './domain-losses.js';

function create(sizes: Record<string, number>): DomainLosses {
  const losses = new DomainLosses();
  for (const [domain, size] of Object.entries(sizes)) {
    for (let index = 0; index < size; index += 1) {
      losses.join(domain);
    }
  }
  return losses;
}

test('a small domain is doubted after two losses of one moment', () => {
  const losses = create({ north: 6, south: 6 });
  losses.note('north', 'a', 1_000);
  losses.note('north', 'a', 1_100);
  assert.not(losses.isDoubtful('north', 500));
  losses.note('north', 'b', 1_200);
  assert.ok(losses.isDoubtful('north', 500));
  assert.not(losses.isDoubtful('north', 1_150));
  assert.not(losses.isDoubtful('south', 500));
});

test('a few losses among many targets say nothing of the rest', () => {
  const losses = create({ north: 94 });
  for (let index = 0; index < 9; index += 1) {
    losses.note('north', `t${index}`, 1_000);
  }
  assert.not(losses.isDoubtful('north', 500));
  losses.note('north', 't9', 1_000);
  assert.ok(losses.isDoubtful('north', 500));
  losses.leave('north', 't9');
  assert.not(losses.isDoubtful('north', 500));
});

test('where targets seem lost all over, no domain is doubted', () => {
  const domains = ['a', 'b', 'c', 'd'];
  const losses = create({ a: 21, b: 21, c: 21, d: 21 });
  for (const domain of domains) {
    for (let index = 0; index < 5; index += 1) {
      losses.note(domain, `${domain}${index}`, 1_000);
    }
  }
  assert.not(domains.some((domain) => losses.isDoubtful(domain, 500)));
  for (let index = 5; index < 19; index += 1) {
    losses.note('c', `c${index}`, 1_000);
  }
  assert.equal(
    domains.filter((domain) => losses.isDoubtful(domain, 500)),
    ['c'],
  );
});

test.run();
