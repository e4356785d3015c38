/** Guards against an organisation, or callers that repeat, making the calls of others late. */
import { FairShares } from '@limelead/admit-request';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { runSharedLoad, shareInTime, type SharedLoad } from './shared-load.fixture.js';

const LOAD: SharedLoad = {
  ...{ vms: 8, targets: 3, seed: 1, demand: 0.8, endMs: 8_000 },
  createShares: () => new FairShares(),
};
const MIN_SHARE_OF_USUAL = 0.95;
const MAX_RANK_DIFFERENCE = 0.05;

function shareOfOthers(load: Partial<SharedLoad>): number {
  const { calls } = runSharedLoad({ ...LOAD, ...load });
  return shareInTime(
    calls.filter(({ organisation, isRepeated }) => organisation !== load.noisy && !isRepeated),
  );
}

const usual = shareOfOthers({});

for (const noisy of [0, 23]) {
  test(`organisation ${noisy} sends ten times its load: calls of others stay in time`, () => {
    const others = shareOfOthers({ noisy });
    assert.ok(others >= MIN_SHARE_OF_USUAL * usual, `${others} of others, usually ${usual}`);
  });
}

test('a tenth of the callers repeats three times: calls of others stay in time', () => {
  const others = shareOfOthers({ repeatShare: 0.1 });
  assert.ok(others >= MIN_SHARE_OF_USUAL * usual, `${others} of others, usually ${usual}`);
});

test('calls of more urgent ranks are in time as often as those of less urgent ones', () => {
  const { calls } = runSharedLoad({ ...LOAD, noisy: 0, hasMixedRanks: true });
  const [first = 0, second = 0, third = 0] = [0, 1, 2].map((rank) =>
    shareInTime(calls.filter(({ call }) => call.rank === rank)),
  );
  assert.ok(first >= second - MAX_RANK_DIFFERENCE, `${first}, ${second}`);
  assert.ok(second >= third - MAX_RANK_DIFFERENCE, `${second}, ${third}`);
});

test.run();
