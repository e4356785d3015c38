import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardCall from './forward-call.js';
import {
  beginAnswer,
  createAdmittedRequest,
  RecordingSink,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';

const LONG_BODY = Buffer.alloc(300 * 1024, 'e');

const failing: Behaviour = (request, response) => {
  response.writeHead(500, { id: String(request.headers['id']) }).end(LONG_BODY);
};

const answering: Behaviour = (request, response) => {
  beginAnswer(request, response);
  response.end('good');
};

// Guards against a failure whose rest was passed on although another target could answer.
test('an error answer too long to buffer ends a repeatable call', async () => {
  const bed = await TestBed.start(failing, answering);
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest({ streaming: false }), sink);
  await sink.done;
  await bed.stop();
  assert.is(`${sink.status} ${sink.body.slice(0, 4)}`, '200 good');
});

test('an error answer too long to buffer cancels the hedge under way', async () => {
  const late =
    (behaviour: Behaviour, afterMs: number): Behaviour =>
    (...parts) => {
      setTimeout(() => behaviour(...parts), afterMs);
    };
  const bed = await TestBed.start(late(failing, 1_300), late(answering, 600));
  const sink = new RecordingSink();
  const route = { streaming: false, objectiveMs: 2_000, maxTargets: 2 };
  forwardCall(bed.context, createAdmittedRequest(route), sink);
  await sink.done;
  const asked = bed.askedTargets.length;
  await bed.stop();
  assert.is(`${asked} ${sink.status} ${sink.body.slice(0, 4)}`, '2 200 good');
});

test.run();
