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
import { exchangeMessageFormat } from './messages.js';

const SEED = 38;

test('any bytes decode to a message or to none', () => {
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
      const decoded = exchangeMessageFormat.decode(value);
      assert.ok(decoded === undefined || typeof decoded.kind === 'string');
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test('a message of an unknown kind does not close the link', () => {
  const packr = new Packr({ useRecords: false });
  const decode = (value: unknown) => exchangeMessageFormat.decode(packr.pack(value));
  assert.equal(decode({ kind: 'of-tomorrow', more: [1] }), { kind: 'unknown' });
  assert.is(decode({ kind: 'lost', targets: 7, replaced: [] }), undefined);
  assert.is(decode({ targets: [] }), undefined);
});

test('a heartbeat is valid with the demand of organisations and without it, as of older releases', () => {
  const packr = new Packr({ useRecords: false });
  const base = { kind: 'heartbeat', wanted: true, members: [], revision: 1 };
  const heartbeat = { ...base, configuration: 1, configurationBytes: 9 };
  const demand = [{ service: 's', arrivals: 3.5, served: 3, organisations: [['o', 3.5]] }];
  for (const value of [heartbeat, { ...heartbeat, demand }]) {
    const packed = packr.pack({ ...value, members: Buffer.alloc(0) });
    assert.equal(exchangeMessageFormat.decode(packed), value);
  }
  const invalid = [{ ...demand[0], served: -1 }];
  const packed = packr.pack({ ...heartbeat, members: Buffer.alloc(0), demand: invalid });
  assert.is(exchangeMessageFormat.decode(packed), undefined);
});

test('a message of lost targets is valid without quarantine updates, with them, and with unknown fields', () => {
  const packr = new Packr({ useRecords: false });
  const lost = { kind: 'lost', targets: ['t1'], replaced: [] };
  const requests = { strikes: [], withdrawn: [], absolved: [], trials: [] };
  for (const value of [lost, { ...lost, requests }, { ...lost, ofTomorrow: 1 }]) {
    assert.equal(exchangeMessageFormat.decode(packr.pack(value)), value);
  }
});

// Guards against links that close between releases: older VMs name no needs, later ones more classes.
test('a request for retries is valid without needs, and with needs of unknown classes', () => {
  const packr = new Packr({ useRecords: false });
  const request = { kind: 'want-repeats', service: 's', repeats: 0.5 };
  const needs = [{ class: 'of-tomorrow', repeats: 0.5 }];
  for (const value of [request, { ...request, needs }]) {
    assert.equal(exchangeMessageFormat.decode(packr.pack(value)), value);
  }
  assert.is(exchangeMessageFormat.decode(packr.pack({ ...request, needs: 1 })), undefined);
});

test('a waiting call is valid with a mark for repeats and without it, as of older releases', () => {
  const packr = new Packr({ useRecords: false });
  const ask = { kind: 'ask-places', service: 's', isWhole: true, avoid: [], received: 0 };
  for (const details of [{}, { isRepeat: true, mark: ['0123456789abcdef', 7] }]) {
    const value = { ...ask, wants: [[1, 0, 300, 4_000, details]] };
    assert.equal(exchangeMessageFormat.decode(packr.pack(value)), value);
  }
});

test.run();
