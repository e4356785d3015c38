import { createManualTime } from '@limelead/stand-ins';
import type { Advice } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import TargetAdvice from './target-advice.js';
import type { TargetQuestion } from './types.js';

const REQUEST = { service: 'briefs', affinityKey: 's', failureDomain: 'north', exclude: [] };

function create(schedulers: string[][] = [['first', 'stand-in']], self = 'self') {
  const time = createManualTime();
  const linkedAtMs = new Map(schedulers.flat().map((id) => [id, 0]));
  const sent: [string, TargetQuestion][] = [];
  const received: Advice[] = [];
  const advice = new TargetAdvice({
    self,
    clock: time.clock,
    timers: time.timers,
    listSchedulers: () => schedulers,
    readLinkedAtMs: (scheduler) => linkedAtMs.get(scheduler),
    decide: () => ({ target: 't-own' }),
    send: (scheduler, question) => sent.push([scheduler, question]),
  });
  const ask = (): (() => void) => advice.ask(REQUEST, (given) => received.push(given));
  const askedVms = (): string[] => sent.map(([scheduler]) => scheduler);
  return { time, linkedAtMs, sent, received, advice, ask, askedVms };
}

test('the first scheduler is asked, and its answer is given once', async () => {
  const { time, received, advice, ask, askedVms } = create();
  ask();
  assert.equal(askedVms(), ['first']);
  await time.advance(2);
  advice.hear('first', 1, { target: 't1' });
  advice.hear('first', 1, { target: 't2' });
  await time.advance(1_000);
  assert.equal(received, [{ outcome: 'advised', target: 't1', scheduler: 'first', afterMs: 2 }]);
  assert.is(advice.answeredBy('first'), 1);
  assert.is(advice.answeredBy('stand-in'), 0);
});

test('a scheduler that is late is given up after 40 ms, and left alone for a second', async () => {
  const { time, received, advice, ask, askedVms } = create();
  ask();
  await time.advance(40);
  assert.equal(received, [{ outcome: 'late', scheduler: 'first', afterMs: 40 }]);
  advice.hear('first', 1, { target: 't1' });
  assert.is(received.length, 1);
  ask();
  await time.advance(1_000);
  ask();
  assert.equal(askedVms(), ['first', 'stand-in', 'first']);
});

test('a scheduler that was linked just now is asked only where no other is linked', () => {
  const { time, linkedAtMs, ask, askedVms } = create();
  linkedAtMs.set('first', time.clock.now());
  ask();
  linkedAtMs.delete('stand-in');
  ask();
  linkedAtMs.delete('first');
  ask();
  assert.equal(askedVms(), ['stand-in', 'first']);
});

test('what was asked of a scheduler that is lost ends at once', () => {
  const { received, advice, ask } = create();
  ask();
  advice.noteLost('first');
  assert.equal(
    received.map(({ outcome }) => outcome),
    ['link-lost'],
  );
});

test('a question that nobody waits for any more is not answered', () => {
  const { received, advice, ask } = create();
  ask()();
  advice.hear('first', 1, { target: 't1' });
  assert.equal(received, []);
});

test('a VM that is the scheduler itself decides at once, and a small fleet asks nobody', () => {
  const own = create([['self']]);
  own.ask();
  assert.equal(own.received, [
    { outcome: 'advised', target: 't-own', scheduler: 'self', afterMs: 0 },
  ]);
  const small = create([]);
  small.ask();
  assert.equal(small.received, [{ outcome: 'nobody-to-ask' }]);
});

test('a session is asked about at the scheduler of its part of the targets', () => {
  const parts = [['a'], ['b'], ['c']];
  const { advice, sent } = create(parts);
  for (let session = 0; session < 30; session += 1) {
    advice.ask({ ...REQUEST, affinityKey: `s${session}` }, () => undefined);
  }
  assert.equal([...new Set(sent.map(([scheduler]) => scheduler))].sort(), ['a', 'b', 'c']);
  assert.ok(sent.every(([scheduler, question]) => parts[question.part]?.[0] === scheduler));
});

test.run();
