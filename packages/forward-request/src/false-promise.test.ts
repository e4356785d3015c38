import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardCall from './forward-call.js';
import forwardStream from './forward-stream.js';
import { withoutFalsePromise } from './read-answer.js';
import {
  createAdmittedRequest,
  RecordingSink,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';

const ONCE = { repeatable: false, maxTargets: 1 };
/** More than is buffered of an answer. */
const LONG_BODY = 'x'.repeat(300 * 1024);

class HeaderSink extends RecordingSink {
  rawHeaders: string[] | undefined;

  override begin(status: number, rawHeaders: string[] = []): void {
    super.begin(status);
    this.rawHeaders = rawHeaders;
  }
}

for (const [kind, forward] of [
  ['call', forwardCall],
  ['stream', forwardStream],
] as const) {
  for (const status of [408, 429, 503]) {
    for (const body of ['busy', LONG_BODY]) {
      const size = body === LONG_BODY ? 'long' : 'short';
      test(`a ${kind} that may have run gets a ${size} ${status}, which promises that it has not`, async () => {
        const answer: Behaviour = (request, response) => {
          response.writeHead(status, { id: String(request.headers['id']) }).end(body);
        };
        const bed = await TestBed.start(answer);
        const sink = new HeaderSink();
        forward(
          bed.context,
          createAdmittedRequest({ ...ONCE, streaming: kind === 'stream' }),
          sink,
        );
        await sink.done;
        await bed.stop();
        assert.equal([sink.outcome, sink.status, sink.body], ['ended', 502, '']);
        assert.equal(sink.rawHeaders, []);
      });
    }
  }
}

test('a 503 that a relaying VM promises is passed on as no promise', () => {
  const helper = { isHelper: true } as ServiceTarget;
  const head = { status: 503, rawHeaders: [], headers: new Map<string, string>() };
  assert.is(withoutFalsePromise(head, helper), head);
});

test.run();
