import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  PrioritisedRetryBudget,
  type RetryClass,
  type RetryRequest,
  type RetryRequestEnd,
} from './index.js';

/** One VM on a manual clock, with a budget of two retries in 10 s and no peers. */
function create({ slack = 2 / 0.95, ratio = 0, canBorrow = false } = {}) {
  const time = { now: 0 };
  const timers: { atMs: number; run: () => void; isCancelled: boolean }[] = [];
  const ends: RetryRequestEnd[] = [];
  const rounds: number[] = [];
  let vmsReads = 0;
  const budget = new PrioritisedRetryBudget({
    limits: { ratio, slack, windowMs: 10_000 },
    clock: { now: () => time.now },
    timers: {
      after: (milliseconds, run) => {
        const timer = { atMs: time.now + milliseconds, run, isCancelled: false };
        timers.push(timer);
        return () => (timer.isCancelled = true);
      },
    },
    random: { next: () => 0.5 },
    countVms: () => {
      vmsReads += 1;
      return 1;
    },
    onLow: () => undefined,
    borrowForWaiters: () => {
      rounds.push(time.now);
      return canBorrow;
    },
    onRequestEnded: (end) => ends.push(end),
  });
  const decisions: string[] = [];
  const request = (name: string, retryClass: RetryClass, fields: Partial<RetryRequest> = {}) =>
    budget.requestRetry(
      { class: retryClass, rank: 1, lateAtMs: 700, untilMs: 20_000, ...fields },
      (decision) => {
        decisions.push(decision.outcome === 'granted' ? name : `${name} refused`);
        if (decision.outcome === 'granted') {
          budget.recordSent(decision.retry, time.now);
        }
      },
    );
  const listTimers = () => timers.filter(({ isCancelled }) => !isCancelled);
  const spendAll = (): void => {
    while (budget.trySpend(time.now, 1));
  };
  /** Runs the timer that is due next. */
  const runTimer = (): void => {
    const [next] = listTimers();
    time.now = next!.atMs;
    next!.isCancelled = true;
    next!.run();
  };
  const countVmsReads = (): number => vmsReads;
  return {
    ...{ budget, time, decisions, request, listTimers, runTimer, spendAll, ends, rounds },
    countVmsReads,
  };
}

// Guards against other deployments that would wait where budget is plentiful.
test('while budget is available, a retry is granted before the request returns', () => {
  const { request, decisions, listTimers, rounds, ends } = create();
  request('a', 'stream-written');
  assert.equal(decisions, ['a']);
  assert.equal(listTimers(), []);
  assert.equal(rounds, []);
  assert.equal(
    ends.map(({ outcome, hasWaited }) => [outcome, hasWaited]),
    [['granted', false]],
  );
});

// Guards against the order in which timers fire: the stream with most to lose waits behind others.
test('waiting requests are served by class, then by rank, then by the time left', () => {
  const { request, decisions, budget, spendAll } = create();
  spendAll();
  request('hedge', 'hedge');
  request('repeat', 'call-repeat');
  request('unwritten', 'stream-unwritten', { rank: 0 });
  request('less urgent', 'stream-written', { rank: 2, lateAtMs: 100 });
  request('due later', 'stream-written', { lateAtMs: 500 });
  request('due first', 'stream-written', { lateAtMs: 400 });
  request('late already', 'stream-written', { lateAtMs: 0 });
  request('replica', 'stream-with-replica', { rank: 2 });
  assert.equal(decisions, []);
  budget.borrow(0, 6);
  const expected = [
    'replica',
    'due first',
    'due later',
    'late already',
    'less urgent',
    'unwritten',
  ];
  assert.equal(decisions, expected);
  // The reserve for streams, 0.3 of two retries, stays.
  budget.borrow(0, 2.6);
  assert.equal(decisions.slice(6), ['repeat', 'hedge']);
});

// Guards against polling: budget that comes is used at once.
test('first attempts, loans and returned retries wake waiting requests', () => {
  const { request, decisions, budget, time, spendAll } = create({ ratio: 1 / 0.95 });
  const held = budget.take(0, 1)!;
  spendAll();
  ['a', 'b', 'c'].forEach((name) => request(name, 'stream-written'));
  time.now = 10;
  budget.recordFirstAttempt(10, true);
  assert.equal(decisions, ['a']);
  budget.borrow(11, 1);
  assert.equal(decisions, ['a', 'b']);
  budget.release(held);
  assert.equal(decisions, ['a', 'b', 'c']);
});

// Guards against timers that fire every 50 to 150 ms for each stream.
test('one timer is set, for the moment at which the window moves on', () => {
  const { request, decisions, spendAll, listTimers, runTimer, time } = create();
  spendAll();
  time.now = 3_000;
  ['a', 'b', 'c'].forEach((name) => request(name, 'stream-written'));
  assert.equal(
    listTimers().map(({ atMs }) => atMs),
    [10_500],
  );
  runTimer();
  assert.equal(decisions, ['a', 'b']);
  assert.is(listTimers().length, 1);
});

test('a request is withdrawn without a decision, and its timer ends', () => {
  const { request, decisions, spendAll, listTimers, ends, budget } = create();
  spendAll();
  const withdraw = request('a', 'stream-written');
  withdraw();
  withdraw();
  budget.borrow(0, 1);
  assert.equal(decisions, []);
  assert.equal(listTimers(), []);
  assert.equal(
    ends.map(({ outcome }) => outcome),
    ['withdrawn'],
  );
});

// Guards against hedges and repeats of calls that use up the retries of streams that break later.
test('calls leave a reserve to streams, but only at services that have streams', () => {
  const withStreams = create({ slack: 10 / 0.95 });
  withStreams.budget.recordFirstAttempt(0, true);
  const hopeless = { untilMs: 100, refusesEarly: true };
  for (let index = 0; index < 10; index += 1) {
    withStreams.request('call', 'call-repeat', hopeless);
  }
  assert.is(withStreams.decisions.filter((name) => name === 'call').length, 7);
  withStreams.request('stream', 'stream-unwritten');
  assert.is(withStreams.decisions.at(-1), 'stream');
  const withoutStreams = create({ slack: 10 / 0.95 });
  withoutStreams.budget.recordFirstAttempt(0);
  for (let index = 0; index < 10; index += 1) {
    withoutStreams.request('call', 'call-repeat', hopeless);
  }
  assert.equal(withoutStreams.decisions, Array(10).fill('call'));
});

// Guards against requests that certainly wait in vain, and against a refusal of streams that may run.
test('a request without a retry in time is refused at once, unless it waits until its end', () => {
  const { budget, request, decisions, spendAll, time, runTimer } = create();
  spendAll();
  const refused: number[] = [];
  budget.requestRetry(
    { class: 'call-repeat', rank: 1, lateAtMs: 300, untilMs: 4_000, refusesEarly: true },
    (decision) => decision.outcome === 'refused' && refused.push(decision.retryAfterMs),
  );
  assert.equal(refused, [11_000], 'the window moves on in 10.5 s; half of the jitter of 1 s');
  request('stream', 'stream-written', { untilMs: 4_000 });
  assert.equal(decisions, []);
  runTimer();
  assert.is(time.now, 4_000);
  assert.equal(decisions, ['stream refused']);
});

// Guards against refusals while peers are about to lend.
test('a request is not refused before peers have had time to lend', () => {
  const { request, decisions, spendAll, budget, time, runTimer, rounds } = create({
    canBorrow: true,
  });
  spendAll();
  const hopeless = { untilMs: 4_000, refusesEarly: true };
  request('a', 'call-repeat', hopeless);
  request('b', 'call-repeat', hopeless);
  assert.equal(decisions, []);
  assert.ok(rounds.length > 0);
  time.now = 5;
  budget.borrow(5, 1);
  assert.equal(decisions, ['a']);
  runTimer();
  assert.is(time.now, 50);
  assert.equal(decisions, ['a', 'b refused']);
});

// Guards against loans that leave the lender's own broken streams without a retry.
test('a lender keeps what its own requests of the same or a better class need', () => {
  const { budget, request } = create({ slack: 4 / 0.95 });
  const lendFor = (retryClass: RetryClass): number =>
    Number(budget.lendForNeeds([{ class: retryClass, retries: 0.5 }]).toFixed(6));
  budget.recordFirstAttempt(0, true);
  const before = budget.countOwnAvailable(0, 1);
  assert.is(lendFor('stream-unwritten'), 0.5);
  assert.is(budget.countOwnAvailable(0, 1), before - 0.5);
  const held = [1, 2, 3].map(() => budget.take(0, 1)!);
  request('own', 'stream-unwritten');
  assert.is(lendFor('stream-unwritten'), 0);
  assert.is(lendFor('hedge'), 0);
  assert.is(lendFor('stream-written'), 0.5);
  assert.is(held.length, 3);
});

test('needs name what each class lacks beyond the available budget', () => {
  const { budget, request, spendAll } = create();
  spendAll();
  budget.borrow(0, 0.25);
  request('a', 'stream-written');
  request('b', 'stream-written');
  request('c', 'stream-unwritten');
  const needs = budget.needs.map((need) => ({
    ...need,
    retries: Number(need.retries.toFixed(6)),
  }));
  assert.equal(needs, [
    { class: 'stream-written', retries: 1.75 },
    { class: 'stream-unwritten', retries: 1 },
  ]);
});

// Guards against decisions that request or withdraw retries while the queue is served.
test('a decision may request another retry', () => {
  const { budget, spendAll } = create();
  spendAll();
  const granted: string[] = [];
  const ask = (name: string, then?: () => void): void => {
    budget.requestRetry(
      { class: 'stream-written', rank: 1, lateAtMs: 700, untilMs: 20_000 },
      (decision) => {
        granted.push(`${name} ${decision.outcome}`);
        then?.();
      },
    );
  };
  ask('a', () => ask('b'));
  budget.borrow(0, 2);
  assert.equal(granted, ['a granted', 'b granted']);
});

// Guards against first attempts that take milliseconds while a hundred streams wait for a retry.
test('the work of a first attempt does not grow with the number of waiting requests', () => {
  const countReads = (waiting: number): number => {
    const { budget, request, spendAll, time, countVmsReads } = create({ slack: 40, ratio: 0.5 });
    spendAll();
    for (let index = 0; index < waiting; index += 1) {
      request(`r${index}`, 'call-repeat', { refusesEarly: true });
    }
    assert.is(budget.waiting, waiting);
    const before = countVmsReads();
    budget.recordFirstAttempt(time.now);
    return countVmsReads() - before;
  };
  assert.is(countReads(30), countReads(3));
});

// Guards against moves of runs that would then wait without a target.
test('a retry can be granted only where one is available beyond the reserve of its class', () => {
  const { budget, spendAll, time } = create({ slack: 10 / 0.95 });
  budget.recordFirstAttempt(time.now, true);
  assert.ok(budget.canGrant('hedge'));
  for (let spent = 0; spent < 8; spent += 1) {
    assert.ok(budget.trySpend(time.now, 1));
  }
  assert.not(budget.canGrant('call-repeat'), 'two are left of the reserve of three');
  assert.ok(budget.canGrant('stream-with-replica'));
  spendAll();
  assert.not(budget.canGrant('stream-with-replica'));
  budget.borrow(time.now, 1);
  assert.ok(budget.canGrant('stream-with-replica'));
});

test.run();
