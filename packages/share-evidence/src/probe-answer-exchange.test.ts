import type { PeerProbeAnswer } from '@limelead/track-service-targets';
import { Packr } from 'msgpackr';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { exchangeMessageFormat, type ExchangeMessage } from './messages.js';
import ProbeAnswerExchange from './probe-answer-exchange.js';

/** Creates an exchange with a manual clock and manual timers. */
function create(nowMs: number) {
  const sent: { message: ExchangeMessage; peers: string[] }[] = [];
  const received: PeerProbeAnswer[] = [];
  const callbacks: (() => void)[] = [];
  const clock = { at: nowMs, now: () => clock.at };
  const exchange = new ProbeAnswerExchange({
    clock,
    timers: { after: (_, run) => (callbacks.push(run), () => undefined) },
    listLinkedPeers: () => ['p', 'q'],
    broadcast: (message, peers) => sent.push({ message, peers }),
    onProbeAnswers: (answers) => received.push(...answers),
  });
  return {
    exchange,
    sent,
    received,
    clock,
    runTimers: () => callbacks.splice(0).forEach((run) => run()),
  };
}

test('answers reach linked peers in one message, with ages that VMs without a common clock can read', () => {
  const sender = create(1_000);
  sender.exchange.publish({ target: 't1', atMs: 996 });
  sender.exchange.publish({ target: 't2', atMs: 998.5 });
  sender.runTimers();
  assert.is(sender.sent.length, 1);
  const [first] = sender.sent;
  assert.ok(first);
  const { message, peers } = first;
  assert.equal(peers, ['p', 'q']);
  const decoded = exchangeMessageFormat.decode(exchangeMessageFormat.encode(message));
  assert.ok(decoded?.kind === 'lost');
  assert.equal(decoded.targets, [], 'an older release sees a message without losses');
  const receiver = create(70_000);
  receiver.exchange.onMessage(decoded);
  assert.equal(receiver.received, [
    { target: 't1', atMs: 69_996 },
    { target: 't2', atMs: 69_998 },
  ]);
});

test('a message of an older release, without answers, is valid and changes nothing', () => {
  const packed = new Packr({ useRecords: false }).pack({ kind: 'lost', targets: [], replaced: [] });
  const decoded = exchangeMessageFormat.decode(packed);
  assert.ok(decoded?.kind === 'lost');
  const { exchange, received } = create(0);
  exchange.onMessage(decoded);
  assert.equal(received, []);
});

test('an answer from the future of a wrong sender does not count for longer than a new one', () => {
  const { exchange, received } = create(500);
  const probed = [{ target: 't1', agoMs: -4_000 }];
  exchange.onMessage({ kind: 'lost', targets: [], replaced: [], probed });
  assert.equal(received, [{ target: 't1', atMs: 500 }]);
});

test.run();
