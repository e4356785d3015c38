import type { OriginEvidence, StreamOrigin } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import chooseOriginHolders from './choose-origin-holders.js';
import type Membership from './membership.js';
import { exchangeMessageFormat, type ExchangeMessage } from './messages.js';
import OriginExchange from './origin-exchange.js';
import PeerTable from './peer-table.js';

const ORIGIN: StreamOrigin = {
  streamId: 'r1',
  service: 'llm',
  softwareVersion: 'v1',
  leftMs: 9_000,
};

/** An exchange whose messages are encoded and decoded like on a link. */
function create(linked: string[], members?: Pick<Membership, 'schedulers' | 'dutyCandidates'>) {
  const clock = { now: () => 0 };
  const peers = new PeerTable(clock);
  linked.forEach((peer) => peers.add(peer));
  const sent: { peer: string; message: ExchangeMessage }[] = [];
  const told: StreamOrigin[] = [];
  const timers: (() => void)[] = [];
  const send = (peer: string, message: ExchangeMessage): void => {
    const decoded = exchangeMessageFormat.decode(exchangeMessageFormat.encode(message));
    assert.ok(decoded);
    sent.push({ peer, message: decoded });
  };
  const exchange = new OriginExchange({
    ...{ self: 'a', clock, peers, send },
    timers: {
      after(_, run) {
        timers.push(run);
        return () => undefined;
      },
    },
    isPossiblySameStore: (peer) => peer !== 'foreign',
    readMembership: () => members && ({ isLargeFleet: true, ...members } as Membership),
    broadcast: (message, to) => to.forEach((peer) => send(peer, message)),
    readOrigins: () => [ORIGIN],
    onOrigins: (origins) => told.push(...origins),
    readOriginEvidence: ({ streamId }) => ({
      softwareVersion: streamId === 'r1' ? 'v1' : undefined,
      ...{ versions: [{ softwareVersion: 'v1', agoMs: 3 }], completeAgoMs: 20.4 },
    }),
  });
  return { exchange, sent, told, timers, peers };
}

const answerOf = (
  version: string | null,
  number = 1,
): ExchangeMessage & { kind: 'give-origin' } => ({
  ...{
    kind: 'give-origin',
    number,
    version,
    versions: [{ version: 'v1', agoMs: 0 }],
    isFresh: true,
    completeAgoMs: 5,
  },
});

test('all VMs of a small fleet are told, and a VM that links later', () => {
  const { exchange, sent, told } = create(['b', 'c', 'foreign']);
  assert.is(exchange.publish([ORIGIN]), 2);
  exchange.onLinked('c');
  assert.equal(
    sent.map(({ peer }) => peer),
    ['b', 'c', 'c'],
  );
  const { message } = sent[0]!;
  if (message.kind === 'origins') {
    exchange.onMessage('b', message);
    exchange.onMessage('foreign', message);
  }
  assert.equal(told, [ORIGIN]);
});

test('the first peer that knows a stream ends the question', () => {
  const { exchange, sent } = create(['b', 'c']);
  const received: OriginEvidence[][] = [];
  exchange.ask(ORIGIN, (answers) => received.push(answers));
  assert.equal(
    sent.map(({ message }) => message.kind),
    ['want-origin', 'want-origin'],
  );
  exchange.onMessage('b', answerOf(null));
  assert.is(received.length, 0);
  exchange.onMessage('c', answerOf('v2'));
  assert.equal(
    received[0]?.map(({ softwareVersion }) => softwareVersion),
    [undefined, 'v2'],
  );
  assert.is(received[0]?.[0]?.completeAgoMs, 5);
});

test('a peer of an older release does not confirm what it cannot know', () => {
  const { exchange } = create(['b']);
  const received: OriginEvidence[][] = [];
  exchange.ask(ORIGIN, (answers) => received.push(answers));
  exchange.onMessage('b', { ...answerOf(null), completeAgoMs: undefined });
  assert.is(received[0]?.[0]?.completeAgoMs, undefined);
});

test('a question ends with the last answer, lost link or its timeout', () => {
  const { exchange, timers, peers } = create(['b', 'c']);
  const counts: number[] = [];
  const ask = (): void => void exchange.ask(ORIGIN, (answers) => counts.push(answers.length));
  ask();
  exchange.onMessage('b', answerOf(null));
  peers.remove('c');
  exchange.onPeerLost('c');
  assert.equal(counts, [1]);
  ask();
  timers[1]?.();
  assert.equal(counts, [1, 0]);
  peers.remove('b');
  ask();
  assert.equal(counts, [1, 0, 0]);
});

test('a peer that asks gets what this VM knows', () => {
  const { exchange, sent } = create(['b']);
  exchange.onMessage('b', { kind: 'want-origin', number: 7, id: 'r2', service: 'llm' });
  assert.equal(sent[0]?.message, {
    ...{ kind: 'give-origin', number: 7, version: null, isFresh: false, completeAgoMs: 20 },
    versions: [{ version: 'v1', agoMs: 3 }],
  });
});

test('in a large fleet a few VMs are told, and they are asked before other linked ones', () => {
  const holders = ['b', 'c', 'd', 'e'];
  const others = Array.from({ length: 20 }, (_, index) => `x${index}`);
  const linked = [...holders, ...others.slice(0, 12)];
  const { exchange, sent } = create([...others, ...holders], {
    schedulers: [holders],
    dutyCandidates: ['b'],
  });
  assert.is(exchange.publish([ORIGIN]), 3);
  const toldPeers = sent.map(({ peer }) => peer);
  assert.equal(new Set(toldPeers), new Set(chooseOriginHolders('r1', holders)));
  exchange.ask(ORIGIN, () => undefined);
  assert.equal(
    sent.slice(3).map(({ peer }) => peer),
    linked,
  );
});

// Each VM would have written every stream to the store.
test('one VM of a small fleet writes a stream, and the next one once its link is lost', () => {
  const first = create(['b', 'foreign']).exchange;
  const { exchange, peers } = create(['0', 'b']);
  assert.ok(first.isWriterOf('r1'));
  assert.not.ok(exchange.isWriterOf('r1'));
  peers.remove('0');
  assert.ok(exchange.isWriterOf('r1'));
  assert.is(exchange.countWriters(), 1);
});

// A VM that nobody tells of streams would have been their writer.
test('in a large fleet the linked holders of a stream write it', () => {
  const candidates = ['a', 'b', 'c', 'd'];
  const members = { schedulers: [candidates], dutyCandidates: ['b'] };
  const { exchange, peers } = create(candidates, members);
  const ids = Array.from({ length: 40 }, (_, index) => `r${index}`);
  const listOwn = (): string[] => ids.filter((id) => exchange.isWriterOf(id));
  assert.equal(
    listOwn(),
    ids.filter((id) => chooseOriginHolders(id, candidates)[0] === 'a'),
  );
  ['b', 'c', 'd'].forEach((peer) => peers.remove(peer));
  assert.equal(
    listOwn(),
    ids.filter((id) => chooseOriginHolders(id, candidates).includes('a')),
  );
  assert.is(exchange.countWriters(), 4);
  const other = create(['b', 'c'], { schedulers: [['b', 'c', 'd']], dutyCandidates: [] });
  assert.not.ok(ids.some((id) => other.exchange.isWriterOf(id)));
});

test.run();
