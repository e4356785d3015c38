import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createMetrics from '@limelead/metrics';
import FairShares from './fair-shares.js';
import ReportedShares from './reported-shares.js';

test('waits and refusals are counted by share class, with one line per second at most', () => {
  const shares = new FairShares();
  const metrics = createMetrics();
  const lines: Record<string, unknown>[] = [];
  const log = { write: (event: string, fields = {}) => void lines.push({ event, ...fields }) };
  const reported = new ReportedShares({ service: 's', queue: 'vm', shares, log, metrics });
  for (let now = 0; now <= 3_000; now += 10) {
    reported.recordArrival('large', now);
    reported.recordArrival(now % 100 === 0 ? 'small' : 'large', now);
    if (now % 20 === 0) {
      reported.recordServed(now);
      reported.recordWait('large', now);
    }
  }
  reported.recordWait('small', 3_000);
  reported.recordRefusal('large', 3_000);
  assert.ok(lines.length >= 2 && lines.length <= 3, `${lines.length} lines`);
  assert.equal(lines[0]?.['organisations'], ['large']);
  assert.is(lines[0]?.['event'], 'shares-exceeded');
  const count = (kind: string, shareClass: string): number =>
    metrics.counterValue(`limelead_share_${kind}_total`, { queue: 'vm', class: shareClass });
  assert.ok(count('waits', 'above') > 100);
  assert.is(count('waits', 'within') + count('waits', 'above'), 152);
  assert.is(count('refusals', 'above'), 1);
});

test('no line is written while all organisations are within their shares', () => {
  const lines: string[] = [];
  const log = { write: (event: string) => void lines.push(event) };
  const shares = new FairShares();
  const metrics = createMetrics();
  const reported = new ReportedShares({ service: 's', queue: 'fleet', shares, log, metrics });
  for (let now = 0; now <= 3_000; now += 10) {
    reported.recordArrival(now % 30 === 0 ? 'a' : 'b', now);
    reported.recordWait('a', now);
    reported.recordServed(now);
  }
  assert.equal(lines, []);
});

test.run();
