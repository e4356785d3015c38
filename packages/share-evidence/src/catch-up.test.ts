import { test } from 'uvu';
import * as assert from 'uvu/assert';
import CatchUp from './catch-up.js';

function create({ isInTouch, isFollowing }: { isInTouch: boolean; isFollowing: boolean }) {
  const clock = { at: 0, now: () => clock.at };
  const asked: number[] = [];
  const catchUp = new CatchUp({
    clock,
    timers: { after: () => () => undefined },
    readKnowledge: () => ({
      isInTouch,
      revision: 5,
      configuration: 2,
      configurationBytes: 0,
    }),
    isFollowing: () => isFollowing,
    listPeers: () => [['peer', { revision: 9, configuration: 3, configurationBytes: 500 }]],
    ask: (_, since) => asked.push(since),
  });
  return { clock, asked, catchUp };
}

test('a VM that the store turns away asks once, and again when the answer came or is late', () => {
  const { clock, asked, catchUp } = create({ isInTouch: false, isFollowing: true });
  catchUp.check();
  clock.at = 1_000;
  catchUp.check();
  assert.equal(asked, [5]);
  catchUp.noteAnswer();
  catchUp.check();
  assert.equal(asked, [5, 5]);
  clock.at = 2_500;
  catchUp.check();
  assert.equal(asked, [5, 5, 5]);
});

test('while the store tells this VM what is new, a peer is asked only after a while', () => {
  const { clock, asked, catchUp } = create({ isInTouch: true, isFollowing: true });
  catchUp.check();
  clock.at = 999;
  catchUp.check();
  assert.equal(asked, []);
  clock.at = 1_000;
  catchUp.check();
  assert.equal(asked, [5]);
});

test('a VM for which others follow the store asks as soon as a peer knows more', () => {
  const { asked, catchUp } = create({ isInTouch: true, isFollowing: false });
  catchUp.check();
  assert.equal(asked, [5]);
  catchUp.noteAnswer();
  catchUp.check();
  assert.equal(asked, [5, 5]);
});

test.run();
