import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { getPresentPace, TargetDirectory, type TrackedServiceTarget } from './index.js';

const PIECE_MS = 30;

function toTarget(id: string, port: number): ServiceTarget {
  return { ...{ id, service: 's', host: 'h', port }, failureDomain: 'd', slots: 4, leaving: false };
}

function create() {
  const time = { now: 1_000 };
  const directory = new TargetDirectory({ now: () => time.now });
  const targets = ['t1', 't2'].map(toTarget);
  directory.replaceAll(targets);
  const run = (id: string, pieceMs: number, forMs: number): void => {
    const meter = directory.pace.createMeter(toTarget(id, 0));
    for (const untilMs = time.now + forMs; time.now <= untilMs; time.now += pieceMs) {
      meter.recordPieces(1, time.now);
    }
  };
  const pace = (id: string) => getPresentPace(directory, directory.get(id) as TrackedServiceTarget);
  run('t1', PIECE_MS, 3_000);
  return { directory, run, pace };
}

// Guards against requests that are placed at a target which became slow within the last half second.
test('the pace for placement follows the pieces of the last half second', () => {
  const { run, pace } = create();
  assert.is(pace('t2'), 1);
  run('t2', 2.5 * PIECE_MS, 500);
  assert.ok(pace('t2') > 2.2 && pace('t2') <= 2.6, `pace ${pace('t2')}`);
  run('t2', PIECE_MS, 600);
  assert.is(pace('t2'), 1);
});

test('slowness that peers report counts as it did before', () => {
  const { directory, run, pace } = create();
  run('t2', PIECE_MS, 500);
  const load = { requests: 1, reading: 0, copies: 0, slowness: 1.2 };
  directory.onPeerLoad('p', { targets: new Map([['t2', load]]), advice: 0 });
  assert.is(pace('t2'), 1.2);
});

test.run();
