import { test } from 'uvu';
import * as assert from 'uvu/assert';
import GuardedRun, { type RunOwner } from './guarded-run.js';
import RunLedger, { UNSETTLED_RUN_TTL_MS, type UnsettledRun } from './run-ledger.js';

const target = { id: 't1', service: 'api', version: 'v1' };
const request = { identity: 'r', caller: 'c', requestId: 'id', path: '/', sample: '' };
const owner: RunOwner = {
  now: 0,
  identity: 'r',
  summarize: () => request,
  onOutput: () => undefined,
  onTargetEnded: () => undefined,
  onRunEnded: () => undefined,
};

function createUnsettled(endedAtMs: number): UnsettledRun {
  return { target, startedAtMs: 0, endedAtMs, end: 'abandoned', hasOutput: false, request };
}

test('a target that ended gives the open runs there and those that ended without an answer, once', () => {
  const ledger = new RunLedger();
  ledger.addOpen(new GuardedRun(target, 5, owner));
  ledger.addUnsettled(createUnsettled(10));
  ledger.addUnsettled({ ...createUnsettled(10), target: { ...target, id: 't2' } });
  assert.equal(
    ledger.takeRunsAt('t1', 20).map(({ end, startedAtMs }) => [end, startedAtMs]),
    [
      ['open', 5],
      ['abandoned', 0],
    ],
  );
  assert.is(ledger.takeRunsAt('t1', 20).length, 1);
  assert.equal(
    ledger.listTargetsOf('r').map(({ id }) => id),
    ['t1', 't2'],
  );
});

test('a run without an answer is forgotten if its target outlives it', () => {
  const ledger = new RunLedger();
  ledger.addUnsettled(createUnsettled(10));
  assert.equal(ledger.takeRunsAt('t1', 11 + UNSETTLED_RUN_TTL_MS), []);
  assert.not(ledger.hasRunsAt('t1'));
});

test('the runs without an answer are bounded, and the oldest are forgotten first', () => {
  const ledger = new RunLedger();
  for (let endedAtMs = 0; endedAtMs < 3_000; endedAtMs += 1) {
    ledger.addUnsettled(createUnsettled(endedAtMs));
  }
  assert.is(ledger.unsettledCount, 2_000);
  const [oldest] = ledger.takeRunsAt('t1', 3_000);
  assert.is(oldest?.endedAtMs, 1_000);
});

test.run();
