import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createRateLimitedLog, type LogFields } from './index.js';

test('lines above the rate limit are suppressed, and the next line contains their number', () => {
  const time = { now: 0 };
  const written: LogFields[] = [];
  const log = { write: (_: string, fields: LogFields = {}) => void written.push(fields) };
  const write = createRateLimitedLog(log, { now: () => time.now }, 'flood', 2);
  for (let line = 1; line <= 5; line += 1) {
    write({ line });
  }
  time.now = 1_000;
  write({ line: 6 });
  write({ line: 7 });
  assert.equal(written, [{ line: 1 }, { line: 2 }, { line: 6, unwritten: 3 }, { line: 7 }]);
});

test.run();
