import { Packr } from 'msgpackr';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { roundTokens } from './load-tokens.js';
import { exchangeMessageFormat } from './messages.js';
import RegionLoadPublisher, {
  fromColumns,
  type RegionLoadColumns,
} from './region-load-publisher.js';
import type { TargetLoad } from './types.js';

function createLoad(id: string, requests: number, tokens?: number): TargetLoad {
  const load = { id, requests, reading: 0, copies: 0, slowness: 1 };
  return tokens === undefined ? load : { ...load, tokens };
}

/** Sums the loads of two VMs as one region sends them, and reads them as another one. */
function sendRegionLoad(own: TargetLoad[], peer: TargetLoad[]): TargetLoad[] {
  const sent: RegionLoadColumns[] = [];
  const publisher = new RegionLoadPublisher({
    timers: { after: () => () => undefined },
    readOwnLoad: () => own,
    listRecipients: () => ['x'],
    send: (_, load) => void sent.push(load),
  });
  publisher.setVmLoad('a', peer);
  publisher.publishChanges();
  const bytes = exchangeMessageFormat.encode({ kind: 'region-load', ...sent[0]! });
  const message = exchangeMessageFormat.decode(bytes);
  return message?.kind === 'region-load' ? fromColumns(message) : [];
}

test('tokens are rounded up to hundreds, and none are omitted', () => {
  assert.equal([1, 100, 8_201].map(roundTokens), [100, 100, 8_300]);
  assert.is(roundTokens(0), undefined);
});

// Guards against sums that lack the runs of a VM of an older release.
test('a VM without tokens counts in the sum with the mean of the others', () => {
  assert.equal(sendRegionLoad([createLoad('t1', 2, 18_000)], [createLoad('t1', 3)]), [
    createLoad('t1', 5, 45_000),
  ]);
  const loads = [createLoad('t1', 1, 9_000), createLoad('t2', 1)];
  assert.equal(sendRegionLoad(loads, []), loads);
});

test('a region without tokens sends the message of older releases', () => {
  const loads = [createLoad('t1', 1)];
  assert.equal(sendRegionLoad(loads, []), loads);
});

// Guards against links that close because a message has an optional field or lacks it.
test('messages are valid with tokens and without them', () => {
  const packr = new Packr({ useRecords: false });
  const question = { kind: 'want-target', number: 1, service: 's', affinityKey: 'k', part: 0 };
  const wanted = { ...question, failureDomain: 'd', exclude: [], parts: 1 };
  const advice = { kind: 'advise-target', number: 1, target: null, copyTo: null };
  for (const value of [
    { kind: 'load', advice: 0, targets: [createLoad('t1', 1)] },
    { kind: 'load', advice: 0, targets: [createLoad('t1', 1, 9_000)] },
    ...[wanted, { ...wanted, tokens: 9_000 }, { ...wanted, tokens: 9_000, isLastResort: true }],
    ...[advice, { ...advice, noRoom: true }],
  ]) {
    assert.equal(exchangeMessageFormat.decode(packr.pack(value)), value);
  }
});

test.run();
