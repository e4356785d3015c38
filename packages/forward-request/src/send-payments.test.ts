import createDecisionLog from '@limelead/decision-log';
import { RetrySpender } from '@limelead/spend-retries';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SendPayments from './send-payments.js';

function createPayments() {
  const clock = { now: () => 0 };
  const lines: string[] = [];
  const log = createDecisionLog({
    vm: 'test',
    clock,
    output: (text, done) => {
      lines.push(text);
      done();
    },
  });
  const spender = new RetrySpender({ ratio: 0, slack: 2.5, windowMs: 10_000 });
  const payments = new SendPayments(
    { clock, log, countVms: () => 1, retriesOf: () => spender },
    { service: 'briefs', request: { requestId: 'r1' } },
  );
  return { payments, spender, lines };
}

test('the first arrival is free, and later ones are paid while the budget lasts', () => {
  const { payments } = createPayments();
  const paid: boolean[] = [];
  for (let send = 0; send < 4; send += 1) {
    paid.push(payments.tryPay());
    payments.noteSent();
  }
  assert.equal(paid, [true, true, true, false]);
});

test('a send that the budget does not pay for leaves a line', async () => {
  const { payments, lines } = createPayments();
  for (let send = 0; send < 3; send += 1) {
    payments.tryPay();
    payments.noteSent();
  }
  assert.not(payments.tryPay());
  await new Promise((resolve) => setImmediate(resolve));
  const { event, requestId, service, attempts } = JSON.parse(lines.join('')) as Record<
    string,
    unknown
  >;
  assert.equal([event, requestId, service, attempts], ['repeat-unpaid', 'r1', 'briefs', 3]);
});

test('sends that reach nobody cost nothing, however many there are', () => {
  const { payments, spender } = createPayments();
  for (let send = 0; send < 10; send += 1) {
    assert.ok(payments.tryPay());
    payments.noteSent()();
  }
  assert.is(spender.remaining(0, 1), 2);
  payments.tryPay();
  payments.noteSent();
  for (let send = 0; send < 10; send += 1) {
    assert.ok(payments.tryPay());
    payments.noteSent()();
  }
  assert.is(spender.remaining(0, 1), 2);
});

test.run();
