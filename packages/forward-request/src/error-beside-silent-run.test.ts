import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardStream from './forward-stream.js';
import {
  beginAnswer,
  createAdmittedRequest,
  RecordingSink,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';
import { WHOLE } from './silent-runs.fixture.js';

/** Reads its prompt for longer than a probe of its target is awaited. */
const reading: Behaviour = (request, response) => {
  setTimeout(() => {
    beginAnswer(request, response);
    response.end(WHOLE);
  }, 3_000);
};

const failing: Behaviour = (request, response) => {
  response.writeHead(500, { id: String(request.headers['id']) }).end('engine fault');
};

test('a silent run that reads its prompt is ended by an error of the next target', async () => {
  const bed = await TestBed.start(reading, failing);
  bed.answersProbes = false;
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest({ maxTargets: 2 }), sink);
  await sink.done;
  await bed.stop();
  assert.is(`${sink.status} ${sink.body}`, `200 ${WHOLE}`);
});

test.run();
