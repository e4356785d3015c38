import { test } from 'uvu';
import * as assert from 'uvu/assert';
import assessRunEnd, { REPORT_LAG_MS, type RunEndEvidence } from './assess-run-end.js';

function assess(evidence: Partial<RunEndEvidence>): string {
  return assessRunEnd({ isDisconnected: true, unlistedForMs: 0, ...evidence });
}

const listed = { listsRun: true, waiting: 0 };
const unlisted = { listsRun: false, waiting: 0 };
const oldEnough = { writingForMs: REPORT_LAG_MS };

test('a stop that the target confirms ends the run', () => {
  assert.is(assess({ stop: 'stopped', isDisconnected: false }), 'ended');
  assert.is(assess({ stop: 'no-such-run' }), 'ended');
  assert.is(assess({ stop: 'other-target' }), 'ended');
});

test('a target that knows no run may still read the prompt of an open connection', () => {
  assert.is(assess({ stop: 'no-such-run', isDisconnected: false }), 'running');
  assert.is(assess({ stop: 'no-such-run', isDisconnected: false, writingForMs: 1 }), 'ended');
});

test('a target that answers nothing, or at which nothing listens, is lost', () => {
  assert.is(assess({ stop: 'unreachable' }), 'lost');
  assert.is(assess({ report: 'unreachable', stop: 'unanswered' }), 'lost');
  assert.is(assess({ report: 'unanswered' }), 'lost');
  assert.is(assess({ report: 'unanswered', stop: 'busy' }), 'running');
  assert.is(assess({ report: 'broken', stop: 'broken' }), 'running');
});

test('a report without the run shows its end only if earlier ones listed it', () => {
  assert.is(assess({ report: unlisted, ...oldEnough }), 'ended');
  assert.is(assess({ report: listed, ...oldEnough }), 'running');
  assert.is(assess({ report: unlisted, writingForMs: REPORT_LAG_MS - 1 }), 'running');
  assert.is(assess({ report: unlisted }), 'running');
  assert.is(assess({ report: { listsRun: false, waiting: 1 }, ...oldEnough }), 'running');
});

test('a disconnected run that no report lists for longer than reports lag has ended', () => {
  const report = unlisted;
  assert.is(assess({ report, unlistedForMs: REPORT_LAG_MS }), 'ended');
  assert.is(assess({ report, unlistedForMs: REPORT_LAG_MS, isDisconnected: false }), 'running');
  assert.is(assess({ report: listed, unlistedForMs: REPORT_LAG_MS }), 'running');
});

test.run();
