import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createPieceSplitter from './index.js';

const STREAM = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 12\ndata: c\n\n';

test('the pieces do not depend on how the stream is split into chunks', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 20 })), (sizes) => {
      const splitter = createPieceSplitter();
      const pieces = [];
      let remaining = Buffer.from(STREAM);
      for (const size of [...sizes, STREAM.length]) {
        pieces.push(...splitter.push(remaining.subarray(0, size)));
        remaining = remaining.subarray(size);
      }
      assert.equal(
        pieces.map(({ number }) => number),
        [1, 2, undefined, 12],
      );
      assert.is(Buffer.concat(pieces.map(({ bytes }) => bytes)).toString(), STREAM);
      assert.is(splitter.pendingBytes, 0);
    }),
    { seed: 7 },
  );
});

test('an incomplete event is not returned', () => {
  const splitter = createPieceSplitter();
  assert.equal(splitter.push(Buffer.from('id: 1\ndata: a\n')), []);
  assert.is(splitter.pendingBytes, 14);
});

test('an event beyond the size limit is detected', () => {
  const splitter = createPieceSplitter();
  splitter.push(Buffer.alloc(1024 * 1024 + 1, 0x61));
  assert.ok(splitter.isOversized);
});

test.run();
