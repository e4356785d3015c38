import { test } from 'uvu';
import * as assert from 'uvu/assert';
import PeerLoadTable, { type ReportedTargetLoad } from './peer-load-table.js';

const ONE_READING: ReportedTargetLoad = { requests: 1, reading: 1, copies: 0, slowness: 1 };
const ONE: Omit<ReportedTargetLoad, 'slowness'> = { requests: 1, reading: 1, copies: 0 };

function create() {
  const time = { now: 1_000 };
  const loads = new PeerLoadTable({ now: () => time.now }, () => undefined);
  const report = (peer: string, targets: [string, ReportedTargetLoad][], advice = 0): void =>
    loads.applyUpdate(peer, { targets: new Map(targets), advice });
  return { time, loads, report };
}

test('an advised request counts until its VM reports a load that includes it', () => {
  const { loads, report } = create();
  loads.recordAdvisedRequest({ peer: 'a', advice: 7, target: 't1' });
  assert.equal(loads.getTotal('t1'), ONE);
  report('a', [['t2', ONE_READING]], 6);
  assert.is(loads.getTotal('t1').requests, 1);
  report('b', [['t1', ONE_READING]], 9);
  assert.is(loads.getTotal('t1').requests, 2);
  report('a', [['t1', ONE_READING]], 7);
  assert.is(loads.getTotal('t1').requests, 2);
  assert.is(loads.getTotal('t2').requests, 0);
});

test('an advised request that is never reported counts for one second', () => {
  const { time, loads } = create();
  loads.recordAdvisedRequest({ peer: 'a', advice: 1, target: 't1' });
  time.now += 1_000;
  loads.recordAdvisedRequest({ peer: 'a', advice: 2, target: 't2' });
  assert.is(loads.getTotal('t1').requests, 0);
  assert.is(loads.getTotal('t2').requests, 1);
});

test('the load of a VM that is gone is subtracted', () => {
  const { loads, report } = create();
  report('a', [['t1', { requests: 3, reading: 1, copies: 0, slowness: 1 }]]);
  report('b', [['t1', ONE_READING]]);
  report('a', []);
  assert.equal(loads.getTotal('t1'), ONE);
});

test.run();
