import { toHttpStatus } from '@limelead/errors';
import type { TrackedServiceTarget } from '@limelead/track-service-targets';
import { systemRandom, type PlaceOutcome, type WaitingCallQueue } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { NO_CALL_QUEUES, type CallPlaces } from './call-places.js';
import forwardCall from './forward-call.js';
import {
  beginAnswer,
  createAdmittedRequest,
  RecordingSink,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';
import SlotQueue from './slot-queue.js';

const answer: Behaviour = (request, response) => {
  beginAnswer(request, response);
  response.end('done');
};
const answerSlowly: Behaviour = (request, response, seen) =>
  void setTimeout(() => answer(request, response, seen), 150);
const reject: Behaviour = (_, response) => {
  response.writeHead(503, { 'not-run': '1' }).end();
};
const CALL = { streaming: false, repeatable: true, maxTargets: 2, objectiveMs: 60 };

/** Places for a queued service: each waiting call gets one at the next of the targets. */
class GivenPlaces implements CallPlaces {
  readonly ended: [string, PlaceOutcome][] = [];
  readonly asked: number[] = [];
  private queue: WaitingCallQueue | undefined;

  constructor(private readonly targets: string[]) {}

  attach(queue: WaitingCallQueue): void {
    this.queue = queue;
  }

  isQueued(): boolean {
    return true;
  }

  canSend(): boolean {
    return false;
  }

  recordSend(target: string): (outcome?: PlaceOutcome) => void {
    return (outcome) => void this.ended.push([target, outcome]);
  }

  onQueueChanged(service: string): void {
    for (const { id } of this.queue?.list(service) ?? []) {
      this.asked.push(id);
      const target = this.targets.shift();
      setImmediate(() =>
        target === undefined
          ? this.queue?.refuse(id, { retryAfterMs: 700, grantedBy: 'vm' })
          : this.queue?.serveAt(id, target),
      );
    }
  }
}

function usePlaces(bed: TestBed, places: CallPlaces): void {
  const limit = ({ target }: TrackedServiceTarget): number => target.slots;
  bed.context.slots = new SlotQueue({ ...bed.context, random: systemRandom, limit, places });
}

async function forward(behaviours: Behaviour[], targets: string[]) {
  const bed = await TestBed.start(...behaviours);
  const places = new GivenPlaces(targets);
  usePlaces(bed, places);
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest(CALL), sink);
  await sink.done;
  await bed.stop();
  return { bed, sink, places };
}

test('a call to a queued service is not hedged, since a hedge takes the place of a waiting call', async () => {
  const { bed, sink, places } = await forward([answerSlowly, answer], ['t1', 't2']);
  assert.equal(bed.askedTargets, ['t1']);
  assert.is(sink.body, 'done');
  assert.equal(places.ended, [['t1', 'answered']]);
});

test('a rejected call goes back to the queue, which learns of the rejection', async () => {
  const { bed, sink, places } = await forward([reject, answer], ['t1', 't2']);
  assert.equal(bed.askedTargets, ['t1', 't2']);
  assert.is(sink.body, 'done');
  assert.equal(places.asked, [1, 2]);
  assert.equal(places.ended, [['t1', 'rejected'], ['t2', 'answered']]); // prettier-ignore
});

test('a call that the queue refuses is reported as not run, with the time to return', async () => {
  const { bed, sink } = await forward([answer], []);
  assert.equal(bed.askedTargets, []);
  const { error } = sink;
  assert.ok(error);
  assert.is(error && toHttpStatus(error.kind, error.answer.execution), 503);
  assert.is(error?.answer.execution, 'not-run');
  assert.is(error?.answer.retryAfterMs, 700);
});

test('without a queue a slow call is hedged as before', async () => {
  const unanswered: Behaviour = () => undefined;
  const bed = await TestBed.start(unanswered, answer);
  usePlaces(bed, NO_CALL_QUEUES);
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest(CALL), sink);
  await sink.done;
  await bed.stop();
  assert.is(sink.status, 200);
  assert.equal(bed.askedTargets, ['t1', 't2']);
});

test.run();
