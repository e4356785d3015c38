import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { TargetDirectory } from './index.js';

const USUAL_MS = 30;

function createTarget(id: string): ServiceTarget {
  const address = { host: '10.0.0.1', port: Number(id.replace(/\D/g, '')) };
  return { id, service: 'briefs', ...address, failureDomain: 'north', slots: 4, leaving: false };
}

/** Creates a directory and a function that runs one piece per `paceMs` at a target. */
function create() {
  const time = { now: 1_000 };
  const directory = new TargetDirectory({ now: () => time.now });
  directory.replaceAll(['t1', 't2', 't3'].map(createTarget));
  const run = (id: string, paceMs: number, forMs: number): void => {
    const meter = directory.pace.createMeter(createTarget(id));
    const untilMs = time.now + forMs;
    for (; time.now <= untilMs; time.now += paceMs) {
      meter.recordPieces(1, time.now);
    }
  };
  const learn = (): void => {
    run('t1', USUAL_MS, 3_000);
    run('t2', USUAL_MS, 3_000);
  };
  return { time, directory, run, learn };
}

test('a target whose pieces take 2.5 times the usual time is slow within half a second, and usual again after it', () => {
  const { directory, run, learn } = create();
  learn();
  assert.is(directory.paceOf('t1'), 1);
  run('t3', 2.5 * USUAL_MS, 500);
  const pace = directory.paceOf('t3');
  assert.ok(pace > 2.2 && pace <= 2.6, `pace ${pace}`);
  run('t3', USUAL_MS, 600);
  assert.is(directory.paceOf('t3'), 1);
});

test('jitter and fuller batches leave the pace at exactly 1, so that even targets compare equal', () => {
  const { directory, run, learn } = create();
  learn();
  run('t3', 1.2 * USUAL_MS, 500);
  assert.is(directory.paceOf('t3'), 1);
});

test('gaps beside a prefill are compared with such gaps, so that a prefill does not make a target slow', () => {
  const { directory, run, learn } = create();
  learn();
  const end = directory.startReadingPrompt('t1');
  run('t1', 6 * USUAL_MS, 3_000);
  assert.is(directory.paceOf('t1'), 1);
  assert.is(directory.pace.prefillGapMs('briefs'), 6 * USUAL_MS);
  run('t1', 15 * USUAL_MS, 1_000);
  assert.ok(directory.paceOf('t1') > 2, 'slowed beside a prefill');
  end();
});

test('a gap that spans the end of a prefill makes no target slow', () => {
  const { directory, time, run, learn } = create();
  learn();
  const end = directory.startReadingPrompt('t3');
  const meter = directory.pace.createMeter(createTarget('t3'));
  meter.recordPieces(1, time.now);
  time.now += 170;
  end();
  time.now += 10;
  meter.recordPieces(1, time.now);
  run('t3', USUAL_MS, 600);
  assert.is(directory.paceOf('t3'), 1);
});

test('an advertised pace counts for 300 ms, also where nothing was measured', () => {
  const { directory, time } = create();
  directory.recordAdvertisedPace('t1', 2.5);
  assert.is(directory.paceOf('t1'), 2.5);
  time.now += 299;
  assert.is(directory.paceOf('t1'), 2.5);
  time.now += 1;
  assert.is(directory.paceOf('t1'), 1);
});

test('an invalid advertised pace and one of an unknown target are ignored', () => {
  const { directory } = create();
  for (const pace of [NaN, Infinity, 0, -2]) {
    directory.recordAdvertisedPace('t1', pace);
    assert.is(directory.paceOf('t1'), 1);
  }
  directory.recordAdvertisedPace('gone', 4);
  assert.is(directory.paceOf('gone'), 1);
});

test('the slowness that peers measured counts only while this VM has measured nothing newer', () => {
  const { directory, run, learn } = create();
  learn();
  const load = { requests: 1, reading: 0, copies: 0, slowness: 3 };
  directory.onPeerLoad('p', { targets: new Map([['t3', load]]), advice: 0 });
  assert.ok(directory.paceOf('t3') > 2.5);
  run('t3', USUAL_MS, 300);
  assert.is(directory.paceOf('t3'), 1);
});

test('a removed target leaves no pace to a later one of the same id', () => {
  const { directory } = create();
  directory.recordAdvertisedPace('t1', 2.5);
  directory.apply([{ kind: 'gone', id: 't1' }]);
  directory.apply([{ kind: 'put', target: createTarget('t1') }]);
  assert.is(directory.paceOf('t1'), 1);
});

test('of the answers to probes the newest counts, and own ones and those of peers apart', () => {
  const { directory, time } = create();
  assert.is(directory.probeAnswers.peerAgeMs('t1', time.now), Infinity);
  directory.onPeerProbeAnswers([{ target: 't1', atMs: time.now - 10 }]);
  directory.onPeerProbeAnswers([{ target: 't1', atMs: time.now - 90 }]);
  assert.is(directory.probeAnswers.peerAgeMs('t1', time.now), 10);
  assert.is(directory.probeAnswers.ownAgeMs('t1', time.now), Infinity);
});

test.run();
