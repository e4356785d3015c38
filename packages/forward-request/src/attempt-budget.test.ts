import createDecisionLog from '@limelead/decision-log';
import { PrioritisedRetryBudget } from '@limelead/spend-retries';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import AttemptBudget, {
  type AttemptDecision,
  type AttemptPurpose,
  type RefundAttempt,
} from './attempt-budget.js';

const STREAM: AttemptPurpose = { class: 'stream-written', rank: 1, lateAtMs: 700, untilMs: 20_000 };
const REPEAT: AttemptPurpose = {
  class: 'call-repeat',
  rank: 1,
  lateAtMs: 300,
  untilMs: 500,
  refusesEarly: true,
};

/** A budget on a manual clock, of two retries by default. */
function createBudget(slack = 2.5) {
  const time = { now: 0 };
  const clock = { now: () => time.now };
  const lines: string[] = [];
  const log = createDecisionLog({
    vm: 'test',
    clock,
    output: (text, done) => {
      lines.push(text);
      done();
    },
  });
  const retryBudget = new PrioritisedRetryBudget({
    limits: { ratio: 0, slack, windowMs: 10_000 },
    clock,
    timers: { after: () => () => undefined },
    random: { next: () => 0.5 },
    countVms: () => 1,
    onLow: () => undefined,
  });
  const context = { clock, log, retryBudgetOf: () => retryBudget };
  const create = (requestId: string): AttemptBudget =>
    new AttemptBudget(context, { service: 'briefs', request: { requestId } });
  return { create, budget: create('r1'), retryBudget, lines, time };
}

function request(budget: AttemptBudget, purpose = STREAM): AttemptDecision['outcome'] | 'waiting' {
  let outcome: AttemptDecision['outcome'] | 'waiting' = 'waiting';
  budget.requestAttempt(purpose, (decision) => (outcome = decision.outcome));
  return outcome;
}

test('the first attempt is free, and later ones need a retry from the budget', () => {
  const { budget } = createBudget();
  const outcomes: string[] = [];
  for (let attempt = 0; attempt < 4; attempt += 1) {
    outcomes.push(request(budget));
    budget.recordAttempt();
  }
  assert.equal(outcomes, ['granted', 'granted', 'granted', 'waiting']);
});

test('an attempt that the exhausted budget prevents is logged once', async () => {
  const { budget, lines } = createBudget();
  for (let attempt = 0; attempt < 3; attempt += 1) {
    request(budget, REPEAT);
    budget.recordAttempt();
  }
  assert.is(request(budget, REPEAT), 'refused');
  await new Promise((resolve) => setImmediate(resolve));
  const { event, requestId, service, attempts } = JSON.parse(lines.join('')) as Record<
    string,
    unknown
  >;
  assert.equal([event, requestId, service, attempts], ['repeat-unpaid', 'r1', 'briefs', 3]);
});

test('attempts that reach no target spend nothing', () => {
  const { budget, retryBudget } = createBudget();
  const before = retryBudget.countOwnAvailable(0, 1);
  for (let attempt = 0; attempt < 10; attempt += 1) {
    assert.is(request(budget), 'granted');
    budget.recordAttempt()();
  }
  assert.is(retryBudget.countOwnAvailable(0, 1), before);
  request(budget);
  budget.recordAttempt();
  for (let attempt = 0; attempt < 10; attempt += 1) {
    assert.is(request(budget), 'granted');
    budget.recordAttempt()();
  }
  budget.close();
  assert.is(retryBudget.countOwnAvailable(0, 1), before);
});

// Guards against streams that queue again behind others after each target that refuses connections.
test('the retry of an attempt that reached no target stays with its request', () => {
  const { create, budget, retryBudget } = createBudget();
  budget.recordAttempt();
  request(budget);
  const refund = budget.recordAttempt();
  const other = create('r2');
  other.recordAttempt();
  assert.is(request(other), 'granted');
  const third = create('r3');
  third.recordAttempt();
  assert.is(request(third), 'waiting');
  refund();
  assert.is(request(budget), 'granted');
  assert.is(retryBudget.waiting, 1);
});

// Guards against budget that is lost with requests which end between a grant and their attempt.
test('a request that ends returns the retry that it did not use', () => {
  const { create, budget } = createBudget();
  budget.recordAttempt();
  request(budget);
  const others = ['r2', 'r3'].map(create);
  others.forEach((other) => other.recordAttempt());
  const outcomes = others.map((other) => {
    const result = { outcome: 'waiting' };
    other.requestAttempt(STREAM, ({ outcome }) => (result.outcome = outcome));
    return result;
  });
  assert.equal(
    outcomes.map(({ outcome }) => outcome),
    ['granted', 'waiting'],
  );
  budget.close();
  assert.equal(
    outcomes.map(({ outcome }) => outcome),
    ['granted', 'granted'],
  );
});

// Guards against a hedge that is paid although the first attempt reached no target.
test('if the first attempt reached no target, the second one needs no retry', () => {
  const { budget, retryBudget } = createBudget();
  const before = retryBudget.countOwnAvailable(0, 1);
  const refundFirst = budget.recordAttempt();
  request(budget, { ...REPEAT, class: 'hedge' });
  budget.recordAttempt();
  refundFirst();
  budget.close();
  assert.is(retryBudget.countOwnAvailable(0, 1), before);
});

// Guards against a retry that is spent by a call whose hedge waits for a slot when the call fails.
test('a retry that is held when the first attempt proves to have reached no target is returned', () => {
  const { budget, retryBudget } = createBudget();
  const before = retryBudget.countOwnAvailable(0, 1);
  const refundFirst = budget.recordAttempt();
  request(budget, { ...REPEAT, class: 'hedge' });
  refundFirst();
  assert.is(request(budget), 'granted');
  budget.recordAttempt();
  assert.is(retryBudget.countOwnAvailable(0, 1), before);
});

// Guards against a retry that is returned twice and raises the budget for good.
test('if neither the first attempt nor its hedge reached a target, the retry is returned once', () => {
  const { budget, retryBudget } = createBudget();
  const before = retryBudget.countOwnAvailable(0, 1);
  const refundFirst = budget.recordAttempt();
  request(budget, { ...REPEAT, class: 'hedge' });
  const refundHedge = budget.recordAttempt();
  refundFirst();
  refundHedge();
  budget.close();
  assert.is(retryBudget.countOwnAvailable(0, 1), before);
});

// Guards against retries that are spent and never counted, or returned twice, in any order of faults.
test('a request spends one retry for each attempt beyond the first that may have reached a target', () => {
  const step = fc.record({
    kind: fc.constantFrom('attempt' as const, 'refund' as const),
    index: fc.nat(3),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const { budget, retryBudget } = createBudget(100);
      const before = retryBudget.countOwnAvailable(0, 1);
      const inFlight: RefundAttempt[] = [];
      let arrived = 0;
      for (const { kind, index } of steps) {
        if (kind === 'attempt') {
          assert.is(request(budget), 'granted');
          inFlight.push(budget.recordAttempt());
          arrived += 1;
        } else if (inFlight.length > 0) {
          inFlight.splice(index % inFlight.length, 1).forEach((refund) => refund());
          arrived -= 1;
        }
      }
      budget.close();
      const spent = before - retryBudget.countOwnAvailable(0, 1);
      assert.is(spent, Math.max(0, arrived - 1));
    }),
    { seed: 20_261_203, numRuns: 300 },
  );
});

test.run();
