import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createFileOutput, { type WriteFunction } from './file-output.js';

// A pipe that does not block took 7 bytes of a text at a time, and then nothing for
// a while. The rest of the text was gone, and no line said so: the log of a VM lacked
// refusals that its callers had seen.

/** Takes a few bytes at every second call, and says that it is full at the others. */
function createNarrowPipe(): { text: () => string; write: WriteFunction } {
  let text = '';
  let calls = 0;
  const write: WriteFunction = (_, bytes, done) => {
    calls += 1;
    if (calls % 2 === 0) {
      done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0);
      return;
    }
    const taken = bytes.subarray(0, 7);
    text += taken.toString('utf8');
    done(null, taken.length);
  };
  return { text: () => text, write };
}

test('a pipe that takes a text in parts gets all of it', async () => {
  const pipe = createNarrowPipe();
  const output = createFileOutput(1, pipe.write);
  const line = '{"event":"request-refused","status":404}\n';
  const isWritten = await new Promise((resolve) => output(line, resolve));
  assert.is(isWritten, true);
  assert.is(pipe.text(), line);
});

test('an output that ended is told', async () => {
  const output = createFileOutput(1, (_, __, done) =>
    done(Object.assign(new Error('ended'), { code: 'EPIPE' }), 0),
  );
  assert.is(await new Promise((resolve) => output('line\n', resolve)), false);
});

test.run();
