import {
  anything,
  assert as check,
  constantFrom,
  jsonValue,
  oneof,
  property,
  record,
  uint8Array,
} from 'fast-check';
import { Packr } from 'msgpackr';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { evidenceMessageFormat } from './messages.js';

const SEED = 38;

test('any bytes of a peer are a message or none', () => {
  const packr = new Packr({ useRecords: false });
  const message = record({
    kind: constantFrom('heartbeat', 'items', 'lost', 'load'),
    revision: anything(),
  });
  const bytes = oneof(
    uint8Array().map((value) => Buffer.from(value)),
    oneof(jsonValue(), message).map((value) => packr.pack(value)),
  );
  check(
    property(bytes, (value) => {
      const decoded = evidenceMessageFormat.decode(value);
      assert.ok(decoded === undefined || typeof decoded.kind === 'string');
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test.run();
