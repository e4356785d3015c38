import type { RetryRequest } from '@limelead/spend-retries';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createAdmittedRequest, TestBed } from './forwarding.fixture.js';
import StreamAttemptTracker, { type StreamProgress } from './stream-attempt-tracker.js';

// Guards against streams that wait behind others that have less to lose.
test('the retry of a stream is requested by its progress, its replica and its allowed pause', async () => {
  const bed = await TestBed.start();
  const requested: RetryRequest[] = [];
  const budget = bed.context.retryBudgetOf('briefs');
  budget.requestRetry = (request) => {
    requested.push(request);
    return () => undefined;
  };
  const admitted = createAdmittedRequest({ rank: 3, maxPauseMs: 600, objectiveMs: 2_000 });
  const { receivedAtMs, dueAtMs } = admitted;
  const tracker = new StreamAttemptTracker(bed.context, admitted);
  const request = (delivered: number, hasReplica: boolean): void => {
    const progress: StreamProgress = { delivered, hasReplica, lastDeliveredAtMs: 5_000 };
    tracker.requestRetry(progress, () => assert.unreachable('decided without the budget'));
  };
  tracker.recordAttempt('t1');
  request(0, false);
  request(4, false);
  request(4, true);
  assert.equal(
    requested.map((one) => [one.class, one.rank, one.lateAtMs, one.untilMs, one.refusesEarly]),
    [
      ['stream-unwritten', 3, receivedAtMs + 2_000, dueAtMs, false],
      ['stream-written', 3, 5_600, dueAtMs, false],
      ['stream-with-replica', 3, 5_600, dueAtMs, false],
    ],
  );
  tracker.recordRejection('t1', 'full');
  request(0, false);
  assert.is(requested.at(-1)?.refusesEarly, true, 'it certainly has not run');
  await bed.stop();
});

test.run();
