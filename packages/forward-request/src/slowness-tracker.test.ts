import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SlownessTracker from './slowness-tracker.js';

const USUAL_MS = 27;

function createTarget(id: string): ServiceTarget {
  return {
    id,
    service: 'briefs',
    host: '10.0.0.1',
    port: 1,
    failureDomain: 'north',
    slots: 4,
    leaving: false,
  };
}

/** Creates a tracker and a function that runs pieces at a constant pace. */
function create() {
  const changes: string[] = [];
  const tracker = new SlownessTracker((target, slowness) => changes.push(`${target} ${slowness}`));
  const run = (target: string, paceMs: number, pieces = 100): void => {
    const meter = tracker.createMeter(createTarget(target));
    for (let piece = 0; piece < pieces; piece += 1) {
      meter.recordPieces(1, piece * paceMs);
    }
  };
  return { changes, tracker, run };
}

test('a target three times as slow as the others is reported once', () => {
  const { changes, tracker, run } = create();
  run('t1', USUAL_MS, 300);
  run('t2', 3 * USUAL_MS);
  assert.equal(changes, ['t2 3']);
  assert.is(tracker.slownessOf('t2'), 3);
  assert.is(tracker.slownessOf('t1'), 1);
  run('t2', USUAL_MS);
  assert.equal(changes, ['t2 3', 't2 1']);
});

test('delayed pieces that arrive together do not make a target slow', () => {
  const { changes, tracker, run } = create();
  run('t1', USUAL_MS);
  const meter = tracker.createMeter(createTarget('t1'));
  meter.recordPieces(1, 0);
  for (let piece = 1; piece <= 60; piece += 1) {
    const isBurst = piece % 10 === 0;
    if (isBurst) {
      meter.recordPieces(10, piece * USUAL_MS);
    }
  }
  assert.equal(changes, []);
});

test('too few samples of a service do not make a target slow', () => {
  const { changes, run } = create();
  run('t1', USUAL_MS, 20);
  run('t2', 5 * USUAL_MS, 30);
  assert.equal(changes, []);
});

test('a target that is 1.5 times as slow because of a fuller batch does not count as slow', () => {
  const { changes, run } = create();
  run('t1', USUAL_MS);
  run('t2', 1.5 * USUAL_MS);
  assert.equal(changes, []);
});

test.run();
