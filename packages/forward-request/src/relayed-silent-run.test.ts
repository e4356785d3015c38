import { INITIAL_HEALTH } from '@limelead/track-service-targets';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardStream from './forward-stream.js';
import {
  createAdmittedRequest,
  RecordingSink,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';
import { pauseFor, WHOLE } from './silent-runs.fixture.js';
import type { RequestRelay } from './request-relay.js';
import type { Slot } from './slot-request.js';

const pausing = pauseFor(1_500);

const queueing: Behaviour = () => undefined;

/** Relays to the targets of the bed in turn. */
function createRelay(bed: TestBed): RequestRelay {
  return {
    isNeeded: () => true,
    mustDecline: () => false,
    acquire: (_, exclude): Slot | undefined => {
      const tracked = bed.directory
        .listUsable('briefs')
        .find(({ target }) => !exclude.has(target.id));
      return (
        tracked && {
          tracked: {
            ...tracked,
            target: { ...tracked.target, slots: Infinity, isHelper: true },
            health: INITIAL_HEALTH,
          },
          release: () => undefined,
        }
      );
    },
  };
}

for (const answersProbes of [true, false]) {
  test(`a silent run is left for the queue of another VM, ${answersProbes ? 'with' : 'without'} probes`, async () => {
    const bed = await TestBed.start(pausing, queueing);
    bed.answersProbes = answersProbes;
    bed.context.relay = createRelay(bed);
    const sink = new RecordingSink();
    forwardStream(bed.context, createAdmittedRequest({ maxTargets: 3 }), sink);
    await sink.done;
    await bed.stop();
    assert.is(`${sink.outcome} ${sink.body}`, `ended ${WHOLE}`);
  });
}

test.run();
