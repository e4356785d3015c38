import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { computeLimitShare, createAdmissionController } from './index.js';

const ORGANISATION = {
  name: 'haneul',
  keyHashes: [],
  weight: 1,
  requestsPerSecond: 10,
  maxConcurrent: 100,
};
const REQUEST = {
  organisation: ORGANISATION,
  rank: 0,
  expectedWaitMs: 0,
  maxQueueMs: 1_000,
  isResumed: false,
};

function kindOf(
  outcome: ReturnType<ReturnType<typeof createAdmissionController>['admit']>,
): string {
  return E.isRight(outcome) ? 'admitted' : outcome.left.kind;
}

test('requests above the rate and the burst are refused for any arrival pattern', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: 300 }), { maxLength: 300 }), (pauses) => {
      const admission = createAdmissionController({ maxOpenRequests: 1_000 }, () => 1);
      let now = 0;
      let admitted = 0;
      for (const pause of pauses) {
        now += pause;
        const outcome = admission.admit(REQUEST, now);
        if (E.isRight(outcome)) {
          admitted += 1;
          outcome.right.release();
        }
      }
      assert.ok(admitted <= 20 + (now * 10) / 1000 + 1);
    }),
    { seed: 8 },
  );
});

test('a request refused for the rate is admitted after its retry time', () => {
  const admission = createAdmissionController({ maxOpenRequests: 1_000 }, () => 1);
  const refused = Array.from({ length: 30 }, () => admission.admit(REQUEST, 0)).find(E.isLeft);
  assert.ok(refused !== undefined);
  const { retryAfterMs } = refused.left.answer;
  assert.is(kindOf(admission.admit(REQUEST, retryAfterMs)), 'admitted');
});

test('the VM sheds less urgent requests first', () => {
  const admission = createAdmissionController({ maxOpenRequests: 10 }, () => 1);
  for (let open = 0; open < 8; open += 1) {
    assert.is(kindOf(admission.admit(REQUEST, 0)), 'admitted');
  }
  assert.is(kindOf(admission.admit({ ...REQUEST, rank: 3 }, 0)), 'overloaded');
  assert.is(kindOf(admission.admit(REQUEST, 0)), 'admitted');
});

test('a request that cannot reach a target before its deadline is refused as not run', () => {
  const admission = createAdmissionController({ maxOpenRequests: 10 }, () => 1);
  const outcome = admission.admit({ ...REQUEST, deadlineAtMs: 100, expectedWaitMs: 200 }, 0);
  assert.ok(E.isLeft(outcome) && outcome.left.kind === 'deadline-unreachable');
  assert.is(outcome.left.answer.execution, 'not-run');
});

test('under pressure an organisation above its fair share is refused before one below it', () => {
  const admission = createAdmissionController({ maxOpenRequests: 1_000 }, () => 1);
  const large = {
    ...ORGANISATION,
    name: 'large',
    requestsPerSecond: 10_000,
    maxConcurrent: 10_000,
  };
  const admit = (organisation: typeof large, expectedWaitMs: number) =>
    kindOf(admission.admit({ ...REQUEST, organisation, expectedWaitMs }, 0));
  for (let open = 0; open < 50; open += 1) {
    assert.is(admit(large, 0), 'admitted');
  }
  assert.is(admit(ORGANISATION, 0), 'admitted');
  assert.is(admit(large, 1_100), 'overloaded');
  assert.is(admit(ORGANISATION, 1_100), 'admitted');
  assert.is(
    admit(ORGANISATION, 1_600),
    'overloaded',
    'all are refused if the expected wait is far too long',
  );
});

test('a resumed request is not refused and does not count against the rate', () => {
  const admission = createAdmissionController({ maxOpenRequests: 1 }, () => 1);
  assert.is(kindOf(admission.admit(REQUEST, 0)), 'admitted');
  assert.is(kindOf(admission.admit(REQUEST, 0)), 'overloaded');
  const resumed = { ...REQUEST, isResumed: true, expectedWaitMs: 60_000 };
  for (let index = 0; index < 50; index += 1) {
    assert.is(kindOf(admission.admit(resumed, 0)), 'admitted');
  }
});

test('a second release of a request has no effect', () => {
  const admission = createAdmissionController({ maxOpenRequests: 10 }, () => 1);
  const outcome = admission.admit(REQUEST, 0);
  assert.ok(E.isRight(outcome));
  outcome.right.release();
  outcome.right.release();
  assert.is(admission.countOpen(), 0);
});

test('the shares of all VMs sum up to the limit at most, and each VM has a minimum share', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(1_000), { minLength: 1, maxLength: 30 }), (demands) => {
      const shares = demands.map((own, self) => {
        const others = demands
          .map((requestsPerSecond, vm) => ({ vm: String(vm), requestsPerSecond }))
          .filter((_, vm) => vm !== self);
        return computeLimitShare(own, others, demands.length);
      });
      const sum = shares.reduce((total, share) => total + share, 0);
      assert.ok(sum <= 1 + 1e-9);
      assert.ok(shares.every((share) => share >= 0.5 / demands.length - 1e-9));
    }),
    { seed: 9 },
  );
});

test('a VM without reports from its peers uses an equal share', () => {
  assert.is(computeLimitShare(1_000, [], 4), 0.25);
});

test.run();
