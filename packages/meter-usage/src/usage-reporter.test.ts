import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { LeasedDuty } from '@limelead/hold-duty';
import ReportingSimulation, {
  SETTLE_AFTER_MS,
  WINDOW_MS,
  type CallOutcome,
} from './reporting.fixture.js';
import type UsageReporter from './usage-reporter.js';

const RUNS = 2_000;
const STEP_MS = 500;

/** Calls the reporters at intervals until a time. */
async function runUntil(
  reporting: ReportingSimulation,
  vms: readonly UsageReporter[],
  untilMs: number,
): Promise<void> {
  for (; reporting.now < untilMs; reporting.now += STEP_MS) {
    await Promise.all(vms.map((vm) => vm.reportDue()));
  }
}

test('each window is settled and then reported some time after its end', async () => {
  const reporting = new ReportingSimulation();
  await runUntil(reporting, [reporting.createVm('a', () => 1)], 3 * WINDOW_MS);
  assert.equal(reporting.lines, ['settled 0', 'reported 0', 'settled 1', 'reported 1']);
  assert.is(reporting.reports.length, 2);
});

/** Replaces the first holder at some moment; the next one has other counts. */
async function replaceHolder(
  until: (reporting: ReportingSimulation) => boolean,
): Promise<ReportingSimulation> {
  const reporting = new ReportingSimulation();
  const first = reporting.createVm('a', () => 1);
  while (!until(reporting)) {
    await first.reportDue();
    reporting.now += STEP_MS;
  }
  reporting.token = 2;
  await runUntil(reporting, [reporting.createVm('b', () => 2)], 3 * WINDOW_MS);
  return reporting;
}

test('the next holder settles if one was killed before settling', async () => {
  const reporting = await replaceHolder(({ now }) => now >= WINDOW_MS + SETTLE_AFTER_MS - STEP_MS);
  assert.equal(reporting.reports[0]?.counts, '[["b",0]]');
  assert.equal(reporting.listWindows(), [0, 1]);
});

test('the next holder reports the settled counts of one killed before reporting', async () => {
  const reporting = await replaceHolder(({ lines }) => lines.includes('settled 0'));
  assert.equal(reporting.reports[0], { window: 0, counts: '[["a",0]]', token: 2 });
  assert.equal(reporting.listWindows(), [0, 1]);
});

test('the next holder repeats the identical report of one killed after reporting', async () => {
  const reporting = await replaceHolder(({ lines }) => lines.includes('reported 0'));
  assert.equal(
    reporting.reports.map(({ counts }) => counts),
    ['[["a",0]]', '[["a",0]]', '[["b",1]]'],
  );
});

test('a settling write carried out late wins over the following one', async () => {
  const reporting = new ReportingSimulation();
  reporting.writeOutcomes = ['late'];
  const vm = reporting.createVm('a', () => 1);
  await runUntil(reporting, [vm], WINDOW_MS + SETTLE_AFTER_MS + STEP_MS);
  reporting.late.forEach((run) => run());
  await runUntil(reporting, [vm], 2 * WINDOW_MS);
  assert.equal(reporting.lines, ['settle failed', 'reported 0']);
});

test('a holder with an outdated token settles nothing', async () => {
  const reporting = new ReportingSimulation();
  reporting.token = 2;
  await runUntil(reporting, [reporting.createVm('a', () => 1)], 2 * WINDOW_MS);
  assert.equal(reporting.reports, []);
  assert.ok(reporting.lines.every((line) => line === 'settle failed'));
});

test('after lost answers and too many calls the same counts are sent again, without gaps', async () => {
  const reporting = new ReportingSimulation();
  reporting.callOutcomes = ['unanswered', 'too-many', 'undone', 'late'];
  await runUntil(reporting, [reporting.createVm('a', () => 1)], 6 * WINDOW_MS);
  reporting.late.forEach((run) => run());
  assert.equal(reporting.listWindows(), [0, 1, 2, 3, 4]);
  assert.equal(reporting.listInconsistent(), []);
});

test('windows are reported in order after the platform was unavailable', async () => {
  const reporting = new ReportingSimulation();
  reporting.callOutcomes = Array.from({ length: 8 }, (): CallOutcome => 'undone');
  await runUntil(reporting, [reporting.createVm('a', () => 1)], 8 * WINDOW_MS);
  assert.equal(reporting.listWindows(), [0, 1, 2, 3, 4, 5, 6]);
  assert.ok(reporting.lines.includes('unreachable'));
});

test('the backoff grows while the store accepts only reads', async () => {
  const reporting = new ReportingSimulation();
  reporting.writeOutcomes = Array.from({ length: 40 }, (): CallOutcome => 'undone');
  const vm = reporting.createVm('a', () => 1);
  const seconds = 20;
  for (; reporting.now < WINDOW_MS + SETTLE_AFTER_MS + seconds * 1_000; reporting.now += 100) {
    await vm.reportDue();
  }
  const attempts = reporting.lines.filter((line) => line === 'settle failed').length;
  assert.ok(attempts <= seconds / 2 + 4, `${attempts} attempts`);
  reporting.writeOutcomes = [];
  await runUntil(reporting, [vm], reporting.now + 4_000);
  assert.ok(reporting.lines.includes('reported 0'));
});

test('an isolated holder settles nothing', async () => {
  const reporting = Object.assign(new ReportingSimulation(), { isIsolated: true });
  const vm = reporting.createVm('a', () => 1);
  await runUntil(reporting, [vm], 3 * WINDOW_MS);
  assert.equal(reporting.lines, []);
  reporting.isIsolated = false;
  await runUntil(reporting, [vm], 4 * WINDOW_MS);
  assert.equal(reporting.listWindows(), [0, 1, 2]);
});

/** Runs a holder with a real duty whose process is paused for this long while it settles. */
async function runWithPause(forMs: number): Promise<ReportingSimulation> {
  const reporting = new ReportingSimulation();
  const duty = new LeasedDuty({
    holder: 'a',
    clock: { now: () => reporting.now },
    timeOfDay: { now: () => reporting.now },
    reacquireDelayMs: 0,
    marginMs: 100,
    onAcquired: () => undefined,
    onLost: () => undefined,
    onClockJump: () => undefined,
  });
  reporting.now = WINDOW_MS + SETTLE_AFTER_MS;
  duty.onLeaseAnswer({ kind: 'ours', token: 1, sentAtMs: reporting.now, ttlMs: 3_000 });
  reporting.onWrite = () => void (reporting.now += forMs);
  const vm = reporting.createReporter(duty);
  for (let step = 0; step < 3; step += 1) {
    await vm.reportDue();
  }
  return reporting;
}

test('a holder paused between settling and reporting does not report', async () => {
  const shortPause = await runWithPause(1_800);
  assert.equal(shortPause.lines, ['settled 0', 'reported 0']);
  // The lease lasts, but not until the report has certainly arrived.
  const longPause = await runWithPause(2_000);
  assert.equal(longPause.lines, ['settled 0']);
  assert.equal(longPause.reports, []);
});

test('after an unreadable item no window before the last due one is settled', async () => {
  const reporting = new ReportingSimulation();
  reporting.record = { value: Buffer.from('{}'), revision: 50 };
  reporting.now = 6 * WINDOW_MS;
  await runUntil(reporting, [reporting.createVm('a', () => 1)], 7 * WINDOW_MS);
  assert.is(reporting.lines[0], 'unreadable, left out to 3');
  assert.equal(reporting.listWindows(), [4, 5]);
});

test('a report rejected as invalid three times is given up with an event', async () => {
  const reporting = new ReportingSimulation();
  reporting.callOutcomes = ['invalid', 'invalid', 'invalid'];
  await runUntil(reporting, [reporting.createVm('a', () => 1)], 3 * WINDOW_MS);
  assert.ok(reporting.lines.includes('given up 0'));
  assert.equal(reporting.listWindows(), [1]);
});

test('a refused report marks the token as outdated and is not sent again', async () => {
  const reporting = new ReportingSimulation();
  reporting.callOutcomes = ['refused'];
  await runUntil(reporting, [reporting.createVm('a', () => 1)], WINDOW_MS + SETTLE_AFTER_MS + 600);
  assert.equal(reporting.lines, ['settled 0', 'report failed', 'outdated 1']);
});

test('windows that no remaining VM counted from their start are skipped with an event', async () => {
  const reporting = new ReportingSimulation();
  await runUntil(reporting, [reporting.createVm('a', () => 1)], 2 * WINDOW_MS);
  reporting.now = 6 * WINDOW_MS;
  reporting.token = 2;
  await runUntil(reporting, [reporting.createVm('b', () => 2, 7)], 9 * WINDOW_MS);
  assert.ok(reporting.lines.includes('skipped 1-4 not-counted'));
  assert.ok(reporting.lines.includes('reported 7'));
});

test('windows older than the retained ones are skipped with an event', async () => {
  const reporting = new ReportingSimulation();
  reporting.now = 40 * WINDOW_MS;
  await runUntil(reporting, [reporting.createVm('a', () => 1)], 42 * WINDOW_MS);
  assert.is(reporting.lines[0], 'skipped 0-28 too-old');
});

test(`${RUNS} schedules of two VMs that both claim the duty: no two reports of a window differ`, async () => {
  const callOutcome = fc.constantFrom<CallOutcome>(
    'answered',
    'answered',
    'unanswered',
    'late',
    'undone',
  );
  const step = fc.record({
    /** The VM that runs; the other one holds an outdated or future token. */
    vm: fc.constantFrom(0, 1),
    takesOver: fc.integer({ min: 0, max: 5 }).map((number) => number === 0),
    carriesOut: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 20, maxLength: 60 }),
      fc.array(callOutcome, { maxLength: 12 }),
      fc.array(callOutcome, { maxLength: 12 }),
      async (steps, writeOutcomes, callOutcomes) => {
        const reporting = Object.assign(new ReportingSimulation(), { writeOutcomes, callOutcomes });
        const tokens = [1, 0];
        const vms = ['a', 'b'].map((name, number) =>
          reporting.createVm(name, () => tokens[number] || undefined),
        );
        for (const { vm, takesOver, carriesOut } of steps) {
          if (takesOver) {
            reporting.token += 1;
            tokens[vm] = reporting.token;
          }
          if (carriesOut) {
            reporting.late.shift()?.();
          }
          await vms[vm]?.reportDue();
          reporting.now += STEP_MS;
        }
        assert.equal(reporting.listInconsistent(), []);
      },
    ),
    { numRuns: RUNS, seed: 33 },
  );
});

test.run();
