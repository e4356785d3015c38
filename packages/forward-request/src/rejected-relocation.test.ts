import { PrioritisedRetryBudget } from '@limelead/spend-retries';
import { INITIAL_HEALTH } from '@limelead/track-service-targets';
import { systemRandom, systemTimers } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardStream from './forward-stream.js';
import {
  createAdmittedRequest,
  RecordingSink,
  streamTo,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';
import { pauseFor, WHOLE } from './silent-runs.fixture.js';

const pausing = pauseFor(1_000);

const full: Behaviour = (_, response) => {
  response.writeHead(503, { 'not-run': '1' }).end();
};

function countRuns({ askedTargets }: TestBed): number {
  return askedTargets.filter((id) => id === 't1').length;
}

async function forward(next: Behaviour, targets: number): Promise<string> {
  const bed = await TestBed.start(pausing, ...Array.from({ length: targets - 1 }, () => next));
  bed.answersProbes = false;
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest({ maxTargets: 3 }), sink);
  await sink.done;
  await bed.stop();
  const whole = sink.body === WHOLE ? 'whole' : `${sink.body.length} bytes`;
  return `${sink.outcome}, ${whole}, ${countRuns(bed)} run at its target`;
}

for (const targets of [2, 3, 8]) {
  test(`a silent run whose next target is full ends whole, ${targets} targets`, async () => {
    const outcome = await forward(full, targets);
    assert.is(outcome, 'ended, whole, 1 run at its target');
  });
}

/** The budget of one VM while it has a single retry. */
function createBudgetOfOne(): PrioritisedRetryBudget {
  return new PrioritisedRetryBudget({
    limits: { ratio: 0, slack: 1.2, windowMs: 10_000 },
    ...{ clock: { now: () => performance.now() }, timers: systemTimers, random: systemRandom },
    countVms: () => 1,
    onLow: () => undefined,
  });
}

test('a silent run whose next target is full ends whole without further retries', async () => {
  const budget = createBudgetOfOne();
  const bed = await TestBed.start(pausing, full);
  bed.context.retryBudgetOf = () => budget;
  bed.answersProbes = false;
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest({ maxTargets: 3 }), sink);
  await sink.done;
  await bed.stop();
  assert.is(`${sink.outcome}: ${sink.error?.message ?? 'whole'}`, 'ended: whole');
  assert.is(countRuns(bed), 1);
});

test('a silent run is not left for a target that accepts no connection', async () => {
  const bed = await TestBed.start(pausing, streamTo(3));
  bed.answersProbes = false;
  const sink = new RecordingSink();
  bed.directory.apply([
    {
      kind: 'put',
      target: {
        ...{ id: 'down', service: 'briefs', host: '127.0.0.1', port: 1 },
        ...{ failureDomain: 'south-1', slots: 2, leaving: false },
      },
    },
    { kind: 'gone', id: 't2' },
  ]);
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.done;
  const asked = [...bed.askedTargets];
  await bed.stop();
  assert.is(sink.outcome, 'ended');
  assert.equal(asked, ['t1'], 'its run went on');
});

test('a silent run is not left for a VM that has no target for it', async () => {
  let isHelping = false;
  const bed = await TestBed.start(pausing, full);
  const helper = bed.directory.get('t2')?.target;
  assert.ok(helper);
  bed.directory.apply([{ kind: 'gone', id: 't2' }]);
  bed.context.relay = {
    acquire: (_, exclude) =>
      !isHelping || exclude.has('t2') || helper === undefined
        ? undefined
        : {
            tracked: {
              target: { ...helper, isHelper: true },
              hash: 0,
              health: INITIAL_HEALTH,
              ...{ inFlight: 0, reading: 0, peerRequests: 0, peerReading: 0, lastReadingAtMs: 0 },
              ...{ replicas: 0, peerReplicas: 0 },
            },
            release: () => undefined,
          },
    isNeeded: () => false,
    mustDecline: () => false,
  };
  bed.answersProbes = false;
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.until(() => sink.body.includes('piece 2'));
  isHelping = true;
  await sink.done;
  await bed.stop();
  assert.is(sink.outcome, 'ended');
  assert.is(countRuns(bed), 1, 'the run at the silent target was not given up');
});

test.run();
