import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createFileOutput, { type WriteFunction } from './file-output.js';

// Guards against log lines that are lost without notice after partial writes to a pipe.

/** Accepts a few bytes on every second call and reports a full pipe on the others. */
function createNarrowPipe(): { text: () => string; write: WriteFunction } {
  let text = '';
  let calls = 0;
  const write: WriteFunction = (_, bytes, done) => {
    calls += 1;
    if (calls % 2 === 0) {
      done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0);
      return;
    }
    const accepted = bytes.subarray(0, 7);
    text += accepted.toString('utf8');
    done(null, accepted.length);
  };
  return { text: () => text, write };
}

test('a text is written completely to a pipe that accepts it in parts', async () => {
  const pipe = createNarrowPipe();
  const output = createFileOutput(1, pipe.write);
  const line = '{"event":"request-refused","status":404}\n';
  const isWritten = await new Promise((resolve) => output(line, resolve));
  assert.is(isWritten, true);
  assert.is(pipe.text(), line);
});

test('a failed write is reported', async () => {
  const output = createFileOutput(1, (_, __, done) =>
    done(Object.assign(new Error('ended'), { code: 'EPIPE' }), 0),
  );
  assert.is(await new Promise((resolve) => output('line\n', resolve)), false);
});

test.run();
