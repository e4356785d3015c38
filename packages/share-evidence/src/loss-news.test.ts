import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LossNews from './loss-news.js';

/** News under a clock and timers that the test moves. */
function createNews(peers: string[]) {
  const told: string[] = [];
  const due: (() => void)[] = [];
  const clock = { at: 0, now: () => clock.at };
  const news = new LossNews({
    clock,
    timers: {
      after: (_, run) => {
        due.push(run);
        return () => undefined;
      },
    },
    listPeers: () => peers,
    tell: (peer, { targets, replaced }) =>
      told.push(`${peer}: ${targets.join(' ')}${replaced.map((id) => ` -${id}`).join('')}`),
  });
  const runTimers = (): void => due.splice(0).forEach((run) => run());
  return { news, told, clock, runTimers };
}

test('losses of one moment are told to a peer in one message', () => {
  const { news, told, runTimers } = createNews(['p', 'q']);
  for (let index = 0; index < 60; index += 1) {
    news.take(`t${index}`, 'lost');
  }
  runTimers();
  assert.is(told.length, 2);
});

test('a loss goes on to all peers but the one that told it, once', () => {
  const { news, told, clock, runTimers } = createNews(['p', 'q']);
  assert.ok(news.take('t1', 'lost', 'p'));
  assert.not(news.take('t1', 'lost', 'q'));
  runTimers();
  assert.equal(told, ['q: t1']);
  clock.at = 700;
  assert.ok(news.take('t1', 'lost'));
});

test('a target that seemed down is told again once its address is found taken', () => {
  const { news, told, runTimers } = createNews(['p']);
  news.take('t1', 'lost');
  assert.ok(news.take('t1', 'replaced'));
  runTimers();
  assert.equal(told, ['p: t1 -t1']);
});

test.run();
