import { test } from 'uvu';
import * as assert from 'uvu/assert';
import DomainLossTracker from './domain-loss-tracker.js';

function create(sizes: Record<string, number>): DomainLossTracker {
  const losses = new DomainLossTracker();
  for (const [domain, size] of Object.entries(sizes)) {
    for (let index = 0; index < size; index += 1) {
      losses.addTarget(domain);
    }
  }
  return losses;
}

test('two losses at the same time make a small domain suspected', () => {
  const losses = create({ north: 6, south: 6 });
  losses.recordLoss('north', 'a', 1_000);
  losses.recordLoss('north', 'a', 1_100);
  assert.not(losses.isSuspected('north', 500));
  losses.recordLoss('north', 'b', 1_200);
  assert.ok(losses.isSuspected('north', 500));
  assert.not(losses.isSuspected('north', 1_150));
  assert.not(losses.isSuspected('south', 500));
});

test('a few losses among many targets do not make a domain suspected', () => {
  const losses = create({ north: 94 });
  for (let index = 0; index < 9; index += 1) {
    losses.recordLoss('north', `t${index}`, 1_000);
  }
  assert.not(losses.isSuspected('north', 500));
  losses.recordLoss('north', 't9', 1_000);
  assert.ok(losses.isSuspected('north', 500));
  losses.removeTarget('north', 't9');
  assert.not(losses.isSuspected('north', 500));
});

test('no domain is suspected while targets seem lost in all domains', () => {
  const domains = ['a', 'b', 'c', 'd'];
  const losses = create({ a: 21, b: 21, c: 21, d: 21 });
  for (const domain of domains) {
    for (let index = 0; index < 5; index += 1) {
      losses.recordLoss(domain, `${domain}${index}`, 1_000);
    }
  }
  assert.not(domains.some((domain) => losses.isSuspected(domain, 500)));
  for (let index = 5; index < 19; index += 1) {
    losses.recordLoss('c', `c${index}`, 1_000);
  }
  assert.equal(
    domains.filter((domain) => losses.isSuspected(domain, 500)),
    ['c'],
  );
});

test.run();
