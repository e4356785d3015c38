import { test } from 'uvu';
import * as assert from 'uvu/assert';
import PeerLoads, { type PacedLoad } from './peer-loads.js';

const ONE_READING: PacedLoad = { requests: 1, reading: 1, copies: 0, slowness: 1 };
const ONE: Omit<PacedLoad, 'slowness'> = { requests: 1, reading: 1, copies: 0 };

function create() {
  const time = { now: 1_000 };
  const loads = new PeerLoads({ now: () => time.now }, () => undefined);
  const tell = (peer: string, targets: [string, PacedLoad][], advice = 0): void =>
    loads.take(peer, { targets: new Map(targets), advice });
  return { time, loads, tell };
}

test('an advised request counts until its VM tells a load that follows the advice', () => {
  const { loads, tell } = create();
  loads.noteAdvised({ peer: 'a', advice: 7, target: 't1' });
  assert.equal(loads.totalOf('t1'), ONE);
  tell('a', [['t2', ONE_READING]], 6);
  assert.is(loads.totalOf('t1').requests, 1);
  tell('b', [['t1', ONE_READING]], 9);
  assert.is(loads.totalOf('t1').requests, 2);
  tell('a', [['t1', ONE_READING]], 7);
  assert.is(loads.totalOf('t1').requests, 2);
  assert.is(loads.totalOf('t2').requests, 0);
});

test('an advised request that is never told of counts for a second only', () => {
  const { time, loads } = create();
  loads.noteAdvised({ peer: 'a', advice: 1, target: 't1' });
  time.now += 1_000;
  loads.noteAdvised({ peer: 'a', advice: 2, target: 't2' });
  assert.is(loads.totalOf('t1').requests, 0);
  assert.is(loads.totalOf('t2').requests, 1);
});

test('the load of a VM that is gone is taken off again', () => {
  const { loads, tell } = create();
  tell('a', [['t1', { requests: 3, reading: 1, copies: 0, slowness: 1 }]]);
  tell('b', [['t1', ONE_READING]]);
  tell('a', []);
  assert.equal(loads.totalOf('t1'), ONE);
});

test.run();
