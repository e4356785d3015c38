import { test } from 'uvu';
import * as assert from 'uvu/assert';
import parseRetryAfter from './parse-retry-after.js';

const NOW = Date.UTC(2026, 0, 2, 3, 4, 5);
const parse = (text?: string) => parseRetryAfter(text, NOW);

test('seconds are parsed with and without a fraction', () => {
  assert.equal(parse(), { kind: 'none' });
  assert.equal(parse('3'), { kind: 'delay', delayMs: 3_000 });
  assert.equal(parse(' 0.8 '), { kind: 'delay', delayMs: 800 });
  assert.equal(parse('.5'), { kind: 'delay', delayMs: 500 });
  assert.equal(parse('0'), { kind: 'delay', delayMs: 0 });
  assert.equal(parse('7200'), { kind: 'delay', delayMs: 7_200_000 });
});

test('all three forms of an HTTP date are parsed', () => {
  assert.equal(parse('Fri, 02 Jan 2026 03:04:15 GMT'), { kind: 'delay', delayMs: 10_000 });
  assert.equal(parse('Friday, 02-Jan-26 03:04:15 GMT'), { kind: 'delay', delayMs: 10_000 });
  assert.equal(parse('Fri Jan  2 03:04:15 2026'), { kind: 'delay', delayMs: 10_000 });
  assert.equal(parse('Fri, 02 Jan 2026 03:04:00 GMT'), { kind: 'delay', delayMs: 0 });
});

test('other values are unreadable and request no cooldown', () => {
  const texts = ['', '-1', 'soon', 'Infinity', '1e3', '9'.repeat(400), '3;q=1', '2026-01-02'];
  for (const text of [...texts, 'Fri, 99 Jan 2026 03:04:15 GMT']) {
    assert.is(parse(text).kind, 'unreadable', text);
  }
  assert.equal(parse('x'.repeat(99)), { kind: 'unreadable', text: 'x'.repeat(40) });
});

test.run();
