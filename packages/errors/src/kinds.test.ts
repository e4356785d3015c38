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

test('every kind has one answer, and the table has no other', () => {
  assert.equal(Object.keys(ERROR_ANSWERS).sort(), [...ERROR_KINDS].sort());
});

test('a retry is allowed exactly where there is something to wait for', () => {
  for (const kind of ERROR_KINDS) {
    const { mayRetry, retryAfterMs } = ERROR_ANSWERS[kind];
    assert.is(mayRetry, retryAfterMs > 0, kind);
  }
});

test('a status that promises "not run" is given only where that is certain', () => {
  for (const kind of ERROR_KINDS) {
    for (const execution of ['unknown', 'run'] as const) {
      assert.not([408, 421, 429, 503].includes(toHttpStatus(kind, execution)), kind);
    }
  }
  assert.is(toHttpStatus('no-target', 'not-run'), 503);
});

test('nothing whose outcome is unknown invites a blind retry', () => {
  for (const kind of ERROR_KINDS) {
    const { execution, mayRetry } = ERROR_ANSWERS[kind];
    assert.not(execution === 'unknown' && mayRetry, kind);
  }
});

test('the thrower may know better than the table', () => {
  const error = new LimeleadError('rate-limited', 'wait', { retryAfterMs: 7 });
  assert.is(error.answer.retryAfterMs, 7);
  assert.is(error.answer.execution, 'not-run');
});

test('anything thrown becomes an error of the list', () => {
  assert.is(toLimeleadError(new TypeError('x')).kind, 'internal');
  const conflict = new ConflictError('changed', 3, ['a']);
  assert.is(toLimeleadError(conflict), conflict);
});

test('a decode error names file, line, key, what was expected and what was found', () => {
  const fault = { line: 4, key: 'a.b', expected: 'a number', found: '"x"' };
  assert.is(
    new DecodeError('f.jsonc', [fault]).message,
    'f.jsonc:4: a.b: expected a number, found "x"',
  );
});

test.run();
