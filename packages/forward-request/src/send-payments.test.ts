import { RetrySpender } from '@limelead/spend-retries';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SendPayments from './send-payments.js';

function createPayments() {
  const spender = new RetrySpender({ ratio: 0, slack: 2.5, windowMs: 10_000 });
  const payments = new SendPayments(
    { clock: { now: () => 0 }, countVms: () => 1, retriesOf: () => spender },
    'briefs',
  );
  return { payments, spender };
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
