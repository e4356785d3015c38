import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  ERROR_ANSWERS,
  ConflictError,
  DecodeError,
  ERROR_KINDS,
  LimeleadError,
  toHttpStatus,
  toLimeleadError,
} from './index.js';

test('the answers cover exactly the error kinds', () => {
  assert.equal(Object.keys(ERROR_ANSWERS).sort(), [...ERROR_KINDS].sort());
});

test('a retry is allowed exactly if there is a retry delay', () => {
  for (const kind of ERROR_KINDS) {
    const { mayRetry, retryAfterMs } = ERROR_ANSWERS[kind];
    assert.is(mayRetry, retryAfterMs > 0, kind);
  }
});

test('a status that guarantees "not run" is returned only if that is certain', () => {
  for (const kind of ERROR_KINDS) {
    for (const execution of ['unknown', 'run'] as const) {
      assert.not([408, 421, 429, 503].includes(toHttpStatus(kind, execution)), kind);
    }
  }
  assert.is(toHttpStatus('no-target', 'not-run'), 503);
});

test('no retry is allowed if the outcome is unknown', () => {
  for (const kind of ERROR_KINDS) {
    const { execution, mayRetry } = ERROR_ANSWERS[kind];
    assert.not(execution === 'unknown' && mayRetry, kind);
  }
});

test('an error can override the answer of its kind', () => {
  const error = new LimeleadError('rate-limited', 'wait', { retryAfterMs: 7 });
  assert.is(error.answer.retryAfterMs, 7);
  assert.is(error.answer.execution, 'not-run');
});

test('a thrown value is converted to a LimeleadError, and a LimeleadError is kept', () => {
  assert.is(toLimeleadError(new TypeError('x')).kind, 'internal');
  const conflict = new ConflictError('changed', 3, ['a']);
  assert.is(toLimeleadError(conflict), conflict);
});

test('the message of a decode error contains file, line, key, expected and found value', () => {
  const fault = { line: 4, key: 'a.b', expected: 'a number', found: '"x"' };
  assert.is(
    new DecodeError('f.jsonc', [fault]).message,
    'f.jsonc:4: a.b: expected a number, found "x"',
  );
});

test.run();
