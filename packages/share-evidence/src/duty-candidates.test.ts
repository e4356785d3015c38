import { test } from 'uvu';
import * as assert from 'uvu/assert';
import DutyCandidates from './duty-candidates.js';

const RANKING = ['a', 'b', 'c', 'd', 'e', 'f'];
const SCHEDULERS = [['f', 'e']];

/** Plays a round a second; gives who stands after each. */
function play(self: string, linkedByRound: string[][]): string[] {
  let now = 0;
  const candidates = new DutyCandidates(self, { now: () => now });
  return linkedByRound.map((linked) => {
    candidates.choose(RANKING, SCHEDULERS, linked);
    now += 1_000;
    return candidates.list.join('');
  });
}

test('a candidate without a link has the next one in its place, and comes back', () => {
  const rounds = [['e', 'f'], ['e'], ['e'], ['e'], ['e'], ['e', 'f']];
  assert.equal(play('a', rounds), ['fe', 'fe', 'fe', 'ed', 'ed', 'fe']);
});

test('with both gone the next two stand, and one of them knows that it does', () => {
  const rounds = [['e', 'f'], [], [], ['c'], ['c'], ['c']];
  assert.equal(play('d', rounds).at(-1), 'dc');
});

test('a small fleet has two', () => {
  const candidates = new DutyCandidates('a', { now: () => 0 });
  candidates.choose(['a', 'b', 'c'], [], ['b', 'c']);
  assert.equal(candidates.list, ['b', 'c']);
});

test.run();
