import type { TargetChange } from '@limelead/track-service-targets';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LapsedTargets from './lapsed-targets.js';

const gone = (id: string): TargetChange => ({ kind: 'gone', id });

function put(id: string): TargetChange {
  const target = { id, service: 's', host: 'h', port: 1, failureDomain: 'd', slots: 1 };
  return { kind: 'put', target: { ...target, leaving: false } };
}

/** Creates lapsed targets with a clock and timers that the test advances. */
function create(leaving: string[] = []) {
  const removed: string[] = [];
  const due: (() => void)[] = [];
  const clock = { at: 0, now: () => clock.at };
  const lapsed = new LapsedTargets({
    clock,
    timers: {
      after: (_, run) => {
        due.push(run);
        return () => void due.splice(due.indexOf(run), 1);
      },
    },
    leavingTargetMs: 2_000,
    isLeaving: (id) => leaving.includes(id),
    onRemoved: (id) => removed.push(id),
  });
  const outage = (milliseconds: number): void => {
    lapsed.onStoreLost();
    clock.at += milliseconds;
    lapsed.onStoreRegained();
  };
  return { lapsed, removed, clock, outage, runTimers: () => due.splice(0).forEach((run) => run()) };
}

test('entries that expired in an outage are kept until they are written again', () => {
  const { lapsed, removed, outage, runTimers } = create();
  outage(5_000);
  assert.equal(lapsed.filter([gone('a'), gone('b')]), []);
  assert.is(lapsed.filter([put('a')]).length, 1);
  runTimers();
  assert.equal(removed, ['b']);
});

test('a leaving target is removed at once', () => {
  const { lapsed, outage } = create(['a']);
  outage(5_000);
  assert.equal(lapsed.filter([gone('a')]), [gone('a')]);
});

test('without an outage, after a short one and after the grace period a target is removed at once', () => {
  const { lapsed, outage, clock } = create();
  assert.equal(lapsed.filter([gone('a')]), [gone('a')]);
  outage(300);
  assert.equal(lapsed.filter([gone('a')]), [gone('a')]);
  outage(5_000);
  clock.at += 1_900;
  assert.equal(lapsed.filter([gone('a')]), [gone('a')]);
});

test('removals from a peer that reaches the store first are held back, too', () => {
  const { lapsed, removed, clock, runTimers } = create();
  lapsed.onStoreLost();
  clock.at += 5_000;
  assert.equal(lapsed.filter([gone('a'), gone('b')]), []);
  lapsed.onStoreRegained();
  assert.equal(lapsed.filter([gone('a'), put('b')]), [put('b')]);
  runTimers();
  assert.equal(removed, ['a']);
});

test('the grace period ends before a leaving target must stop receiving requests', () => {
  const waits: number[] = [];
  const clock = { at: 0, now: () => clock.at };
  const lapsed = new LapsedTargets({
    clock,
    timers: { after: (milliseconds) => (waits.push(milliseconds), () => undefined) },
    leavingTargetMs: 1_000,
    isLeaving: () => false,
    onRemoved: () => undefined,
  });
  lapsed.onStoreLost();
  clock.at = 3_000;
  lapsed.filter([gone('a')]);
  assert.equal(waits, [900]);
});

test.run();
