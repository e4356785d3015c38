import { PrioritisedRetryBudget } from '@limelead/spend-retries';
import { systemRandom, systemTimers } from '@limelead/types';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardStream from './forward-stream.js';
import {
  beginAnswer,
  createAdmittedRequest,
  formatPiece,
  RecordingSink,
  streamTo,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';

const clock = { now: () => performance.now() };

test('a run that has written again returns the retry that the search had taken', async () => {
  const budget = new PrioritisedRetryBudget({
    limits: { ratio: 0, slack: 1.2, windowMs: 10_000 },
    ...{ clock, timers: systemTimers, random: systemRandom },
    countVms: () => 1,
    onLow: () => undefined,
  });
  let isBroken = false;
  const behaviour: Behaviour = (request, response, seen) => {
    const { lastPiece } = seen;
    if (String(request.headers['id']) === 'silent') {
      beginAnswer(request, response);
      response.write(formatPiece(1) + formatPiece(2));
      setTimeout(() => response.write(formatPiece(3)), 700);
      let number = 4;
      setTimeout(() => {
        const steady = setInterval(() => {
          response.write(formatPiece(number));
          number += 1;
          if (number > 50) {
            clearInterval(steady);
            response.end();
          }
        }, 60);
      }, 750);
    } else if (!isBroken) {
      isBroken = true;
      beginAnswer(request, response);
      response.write(formatPiece(1), () => setTimeout(() => response.destroy(), 20));
    } else {
      streamTo(3)(request, response, { ...seen, lastPiece });
    }
  };
  const bed = await TestBed.start(behaviour, behaviour);
  bed.context.retryBudgetOf = () => budget;
  bed.answersProbes = false;
  // The other target is down meanwhile, so that the run stays.
  const keepLost = setInterval(() => {
    ['t1', 't2']
      .filter((id) => bed.directory.get(id)?.inFlight === 0)
      .forEach((id) => bed.directory.observe(id, { kind: 'lost' }));
  }, 20);
  const silent = new RecordingSink();
  forwardStream(
    bed.context,
    createAdmittedRequest({ timeoutMs: 8_000 }, { requestId: 'silent' }),
    silent,
  );
  await silent.until(() => silent.body.includes('piece 3'));
  clearInterval(keepLost);
  bed.answersProbes = true;
  const { metrics } = bed.context;
  const returned = metrics.counterValue('limelead_silent_runs_total', { outcome: 'returned' });
  const available = budget.countAvailable(clock.now(), 1);
  await sleep(500);
  const broken = new RecordingSink();
  const admitted = createAdmittedRequest(
    { timeoutMs: 6_000 },
    { requestId: 'broken', affinityKey: 'x' },
  );
  forwardStream(bed.context, admitted, broken);
  await Promise.race([broken.done, silent.done]);
  const outcome = { broken: broken.outcome, silent: silent.outcome };
  await Promise.all([broken.done, silent.done]);
  await bed.stop();
  assert.is(returned, 1, 'the run wrote again during the search');
  assert.equal(
    { available: available >= 1, ...outcome },
    { available: true, broken: 'ended', silent: 'open' },
    'a stream that broke went on while the silent one went on',
  );
});

test.run();
