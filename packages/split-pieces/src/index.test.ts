import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createPieceSplitter from './index.js';

const STREAM = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 12\ndata: c\n\n';

test('however the bytes are cut, the same whole pieces come out', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 20 })), (sizes) => {
      const splitter = createPieceSplitter();
      const pieces = [];
      let rest = Buffer.from(STREAM);
      for (const size of [...sizes, STREAM.length]) {
        pieces.push(...splitter.push(rest.subarray(0, size)));
        rest = rest.subarray(size);
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

test('an event that was not finished never comes out', () => {
  const splitter = createPieceSplitter();
  assert.equal(splitter.push(Buffer.from('id: 1\ndata: a\n')), []);
  assert.is(splitter.pendingBytes, 14);
});

test('an event without end is told', () => {
  const splitter = createPieceSplitter();
  splitter.push(Buffer.alloc(1024 * 1024 + 1, 0x61));
  assert.ok(splitter.isOversized);
});

test.run();
