import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import TargetPace from './target-pace.js';

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

/** Plays runs of a hundred pieces, which all come at the same pace. */
function create() {
  const told: string[] = [];
  const pace = new TargetPace((target, slowness) => told.push(`${target} ${slowness}`));
  const play = (target: string, paceMs: number, pieces = 100): void => {
    const run = pace.createRun(createTarget(target));
    for (let piece = 0; piece < pieces; piece += 1) {
      run.notePieces(1, piece * paceMs);
    }
  };
  return { told, pace, play };
}

test('a target that writes three times as slowly as the others is told, and once only', () => {
  const { told, pace, play } = create();
  play('t1', USUAL_MS, 300);
  play('t2', 3 * USUAL_MS);
  assert.equal(told, ['t2 3']);
  assert.is(pace.slownessOf('t2'), 3);
  assert.is(pace.slownessOf('t1'), 1);
  play('t2', USUAL_MS);
  assert.equal(told, ['t2 3', 't2 1']);
});

test('pieces that are held up on the way and come together are no sign of a slow target', () => {
  const { told, pace, play } = create();
  play('t1', USUAL_MS);
  const run = pace.createRun(createTarget('t1'));
  run.notePieces(1, 0);
  for (let piece = 1; piece <= 60; piece += 1) {
    const isBurst = piece % 10 === 0;
    if (isBurst) {
      run.notePieces(10, piece * USUAL_MS);
    }
  }
  assert.equal(told, []);
});

test('the first paces of a service have nothing to be held against', () => {
  const { told, play } = create();
  play('t1', USUAL_MS, 20);
  play('t2', 5 * USUAL_MS, 30);
  assert.equal(told, []);
});

test('a fuller batch, which takes half as long again, is not called slow', () => {
  const { told, play } = create();
  play('t1', USUAL_MS);
  play('t2', 1.5 * USUAL_MS);
  assert.equal(told, []);
});

test.run();
