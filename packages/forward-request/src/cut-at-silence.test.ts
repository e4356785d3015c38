import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardStream from './forward-stream.js';
import {
  createAdmittedRequest,
  formatPiece,
  RecordingSink,
  streamThen,
  TestBed,
} from './forwarding.fixture.js';

const SILENT_MS = 1_000;
/** Longer than two allowed pauses, the longest silence of a run whose target answers. */
const PREEMPTED_MS = 1_500;
const WHOLE = [1, 2, 3].map(formatPiece).join('');

interface Case {
  targets: number;
  route: Parameters<typeof createAdmittedRequest>[0];
  silentMs: number;
  /** Whether the targets answer probes meanwhile. */
  answersProbes: boolean;
}

const cases: Record<string, Case> = {
  'not resumable': {
    ...{ targets: 2, silentMs: SILENT_MS, answersProbes: false },
    route: { repeatable: false },
  },
  'not resumable, preempted': {
    ...{ targets: 2, silentMs: PREEMPTED_MS, answersProbes: true },
    route: { repeatable: false },
  },
  'at its limit of targets': {
    ...{ targets: 2, silentMs: SILENT_MS, answersProbes: false },
    route: { maxTargets: 1 },
  },
  'all targets silent': {
    ...{ targets: 3, silentMs: SILENT_MS, answersProbes: false },
    route: { maxTargets: 2 },
  },
  'no other target': { targets: 1, silentMs: SILENT_MS, answersProbes: false, route: {} },
};

/** The targets fall silent behind piece 2 and go on after a second or so. */
async function forward({ targets, route, silentMs, answersProbes }: Case): Promise<string> {
  const pausing = streamThen(2, (response) => {
    setTimeout(() => response.end(formatPiece(3)), silentMs);
  });
  const bed = await TestBed.start(...Array.from({ length: targets }, () => pausing));
  bed.answersProbes = answersProbes;
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(route), sink);
  await sink.done;
  await bed.stop();
  return sink.body === WHOLE ? sink.outcome : `${sink.outcome} at ${sink.body.length} bytes`;
}

// A sound target that goes on after a silence must not have been left for good (issue 75).
test('a stream is cut while its target is silent for a second', async () => {
  const names = Object.keys(cases);
  const outcomes = await Promise.all(Object.values(cases).map(forward));
  const found = names.map((name, index) => `${name}: ${outcomes[index]}`);
  assert.equal(
    found,
    names.map((name) => `${name}: ended`),
  );
});

test.run();
