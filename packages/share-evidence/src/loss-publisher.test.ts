import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LossPublisher from './loss-publisher.js';

/** Creates a publisher with a manual clock and manual timers. */
function createPublisher(peers: string[]) {
  const sent: string[] = [];
  const callbacks: (() => void)[] = [];
  const clock = { at: 0, now: () => clock.at };
  const publisher = new LossPublisher({
    clock,
    timers: {
      after: (_, run) => {
        callbacks.push(run);
        return () => undefined;
      },
    },
    listPeers: () => peers,
    send: (peer, { targets, replaced }) =>
      sent.push(`${peer}: ${targets.join(' ')}${replaced.map((id) => ` -${id}`).join('')}`),
  });
  const runTimers = (): void => callbacks.splice(0).forEach((run) => run());
  return { publisher, sent, clock, runTimers };
}

test('losses of one batch reach a peer in one message', () => {
  const { publisher, sent, runTimers } = createPublisher(['p', 'q']);
  for (let index = 0; index < 60; index += 1) {
    publisher.recordLoss(`t${index}`, 'lost');
  }
  runTimers();
  assert.is(sent.length, 2);
});

test('a loss is forwarded once to all peers except its sender', () => {
  const { publisher, sent, clock, runTimers } = createPublisher(['p', 'q']);
  assert.ok(publisher.recordLoss('t1', 'lost', 'p'));
  assert.not(publisher.recordLoss('t1', 'lost', 'q'));
  runTimers();
  assert.equal(sent, ['q: t1']);
  clock.at = 700;
  assert.ok(publisher.recordLoss('t1', 'lost'));
});

test('a lost target is published again when another incarnation holds its address', () => {
  const { publisher, sent, runTimers } = createPublisher(['p']);
  publisher.recordLoss('t1', 'lost');
  assert.ok(publisher.recordLoss('t1', 'replaced'));
  runTimers();
  assert.equal(sent, ['p: t1 -t1']);
});

test.run();
