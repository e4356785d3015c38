import { test } from 'uvu';
import * as assert from 'uvu/assert';
import decideReading, {
  HIGH_WATER_BYTES,
  LOW_WATER_BYTES,
  MAX_READ_PAUSE_MS,
  type ReadingState,
} from './decide-reading.js';

// Guards against a target that is never read again, is read too early, or is paused for too long.
test('reading pauses at the high mark and continues at the low one or after the longest pause', () => {
  const cases: [ReadingState, number, number, ReadingState][] = [
    ['reading', HIGH_WATER_BYTES - 1, 0, 'reading'],
    ['reading', HIGH_WATER_BYTES, 0, 'paused'],
    ['paused', LOW_WATER_BYTES + 1, 0, 'paused'],
    ['paused', LOW_WATER_BYTES, 0, 'reading'],
    ['paused', HIGH_WATER_BYTES * 2, MAX_READ_PAUSE_MS - 1, 'paused'],
    ['paused', LOW_WATER_BYTES + 1, MAX_READ_PAUSE_MS, 'overdue'],
    ['overdue', HIGH_WATER_BYTES * 2, 0, 'overdue'],
    ['overdue', LOW_WATER_BYTES, 0, 'reading'],
  ];
  for (const [state, waitingBytes, pausedMs, expected] of cases) {
    const message = `${state}, ${waitingBytes} bytes, ${pausedMs} ms`;
    assert.is(decideReading(state, waitingBytes, pausedMs), expected, message);
  }
});

test.run();
