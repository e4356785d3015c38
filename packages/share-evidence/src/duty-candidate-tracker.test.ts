import { test } from 'uvu';
import * as assert from 'uvu/assert';
import DutyCandidateTracker from './duty-candidate-tracker.js';

const RANKING = ['a', 'b', 'c', 'd', 'e', 'f'];
const SCHEDULERS = [['f', 'e']];

/** Runs one round per second and returns the candidates after each. */
function play(self: string, linkedByRound: string[][]): string[] {
  let now = 0;
  const candidates = new DutyCandidateTracker(self, { now: () => now });
  return linkedByRound.map((linked) => {
    candidates.update(RANKING, SCHEDULERS, linked);
    now += 1_000;
    return candidates.list.join('');
  });
}

test('a candidate without a link is replaced by the next VM until its link is up again', () => {
  const rounds = [['e', 'f'], ['e'], ['e'], ['e'], ['e'], ['e', 'f']];
  assert.equal(play('a', rounds), ['fe', 'fe', 'fe', 'ed', 'ed', 'fe']);
});

test('when both candidates are lost, the next two replace them and know that they do', () => {
  const rounds = [['e', 'f'], [], [], ['c'], ['c'], ['c']];
  assert.equal(play('d', rounds).at(-1), 'dc');
});

test('a small fleet has two candidates', () => {
  const candidates = new DutyCandidateTracker('a', { now: () => 0 });
  candidates.update(['a', 'b', 'c'], [], ['b', 'c']);
  assert.equal(candidates.list, ['b', 'c']);
});

test('a VM is isolated while it has links to less than a third of the known VMs', () => {
  let now = 0;
  const candidates = new DutyCandidateTracker('f', { now: () => now });
  const rounds = [['a', 'b'], ['a'], [], ['a'], ['a', 'b', 'c']].map((linked) => {
    candidates.update(RANKING, SCHEDULERS, linked);
    now += 1_000;
    return candidates.isolatedSinceMs;
  });
  assert.equal(rounds, [undefined, 1_000, 1_000, 1_000, undefined]);
  candidates.update(['e', 'f'], [], []);
  assert.is(candidates.isolatedSinceMs, undefined);
});

test.run();
