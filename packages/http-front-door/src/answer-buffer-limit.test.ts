import { test } from 'uvu';
import * as assert from 'uvu/assert';
import computeAnswerBufferLimit from './answer-buffer-limit.js';

const MEBIBYTE = 1024 * 1024;
const GIBIBYTE = 1024 * MEBIBYTE;
const heapLimitBytes = 160 * MEBIBYTE;

/** The limit in MB for limits in MB. */
function limitOf(constrained: number | undefined, total: number): number {
  const constrainedBytes = constrained === undefined ? undefined : constrained * MEBIBYTE;
  const totalBytes = total * MEBIBYTE;
  return computeAnswerBufferLimit({ constrainedBytes, totalBytes, heapLimitBytes }) / MEBIBYTE;
}

// Guards against a default that does not fit the VM.
test('the limit is a sixteenth of the memory limit, from 4 to 64 MB', () => {
  assert.is(limitOf(176, 32_000), 11);
  assert.is(limitOf(608, 32_000), 38);
  assert.is(limitOf(32, 32_000), 4);
  assert.is(limitOf(4_096, 32_000), 64);
  assert.is(limitOf(undefined, 176), 11);
});

// Guards against a VM on a large machine that would buffer 64 MB in a process sized for less.
test('without a limit of its own, the process takes the heap limit as usable memory', () => {
  assert.is(limitOf(undefined, 32_000), 20);
  assert.is(limitOf(0, 32_000), 20);
  const constrainedBytes = 18_446_744_073_709_552_000;
  const totalBytes = 32 * GIBIBYTE;
  const limits = { constrainedBytes, totalBytes, heapLimitBytes };
  assert.is(computeAnswerBufferLimit(limits), 20 * MEBIBYTE);
});

test.run();
