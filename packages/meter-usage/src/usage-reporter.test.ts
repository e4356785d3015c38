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
const LOOK_MS = 500;

/** Looks at intervals until a moment. */
async function playUntil(
  reporting: ReportingSimulation,
  vms: readonly UsageReporter[],
  untilMs: number,
): Promise<void> {
  for (; reporting.now < untilMs; reporting.now += LOOK_MS) {
    await Promise.all(vms.map((vm) => vm.reportDue()));
  }
}

test('each window is settled, then reported, some time behind its end', async () => {
  const reporting = new ReportingSimulation();
  await playUntil(reporting, [reporting.createVm('a', () => 1)], 3 * WINDOW_MS);
  assert.equal(reporting.lines, ['settled 0', 'reported 0', 'settled 1', 'reported 1']);
  assert.is(reporting.reports.length, 2);
});

/** The first holder dies at a moment; the next one has other counts. */
async function replaceHolder(
  until: (reporting: ReportingSimulation) => boolean,
): Promise<ReportingSimulation> {
  const reporting = new ReportingSimulation();
  const first = reporting.createVm('a', () => 1);
  while (!until(reporting)) {
    await first.reportDue();
    reporting.now += LOOK_MS;
  }
  reporting.token = 2;
  await playUntil(reporting, [reporting.createVm('b', () => 2)], 3 * WINDOW_MS);
  return reporting;
}

test('a holder killed before it settled: the next one settles', async () => {
  const reporting = await replaceHolder(({ now }) => now >= WINDOW_MS + SETTLE_AFTER_MS - LOOK_MS);
  assert.equal(reporting.reports[0]?.counts, '[["b",0]]');
  assert.equal(reporting.listWindows(), [0, 1]);
});

test('a holder killed between settling and reporting: the next one sends its counts', async () => {
  const reporting = await replaceHolder(({ lines }) => lines.includes('settled 0'));
  assert.equal(reporting.reports[0], { window: 0, counts: '[["a",0]]', token: 2 });
  assert.equal(reporting.listWindows(), [0, 1]);
});

test('a holder killed behind its report: the next one repeats it exactly', async () => {
  const reporting = await replaceHolder(({ lines }) => lines.includes('reported 0'));
  assert.equal(
    reporting.reports.map(({ counts }) => counts),
    ['[["a",0]]', '[["a",0]]', '[["b",1]]'],
  );
});

test('a settling write that is done late beats the one that follows it', async () => {
  const reporting = new ReportingSimulation();
  reporting.writeOutcomes = ['late'];
  const vm = reporting.createVm('a', () => 1);
  await playUntil(reporting, [vm], WINDOW_MS + SETTLE_AFTER_MS + LOOK_MS);
  reporting.late.forEach((run) => run());
  await playUntil(reporting, [vm], 2 * WINDOW_MS);
  assert.equal(reporting.lines, ['settle failed', 'reported 0']);
});

test('a deposed holder settles nothing', async () => {
  const reporting = new ReportingSimulation();
  reporting.token = 2;
  await playUntil(reporting, [reporting.createVm('a', () => 1)], 2 * WINDOW_MS);
  assert.equal(reporting.reports, []);
  assert.ok(reporting.lines.every((line) => line === 'settle failed'));
});

test('lost answers and too many calls: the same is sent again, and nothing is left out', async () => {
  const reporting = new ReportingSimulation();
  reporting.callOutcomes = ['unheard', 'too-many', 'undone', 'late'];
  await playUntil(reporting, [reporting.createVm('a', () => 1)], 6 * WINDOW_MS);
  reporting.late.forEach((run) => run());
  assert.equal(reporting.listWindows(), [0, 1, 2, 3, 4]);
  assert.equal(reporting.listDiffering(), []);
});

test('a platform that is down for some windows is told of them in order', async () => {
  const reporting = new ReportingSimulation();
  reporting.callOutcomes = Array.from({ length: 8 }, (): CallOutcome => 'undone');
  await playUntil(reporting, [reporting.createVm('a', () => 1)], 8 * WINDOW_MS);
  assert.equal(reporting.listWindows(), [0, 1, 2, 3, 4, 5, 6]);
  assert.ok(reporting.lines.includes('unreached'));
});

test('a store that takes reads alone is asked ever less often', async () => {
  const reporting = new ReportingSimulation();
  reporting.writeOutcomes = Array.from({ length: 40 }, (): CallOutcome => 'undone');
  const vm = reporting.createVm('a', () => 1);
  const seconds = 20;
  for (; reporting.now < WINDOW_MS + SETTLE_AFTER_MS + seconds * 1_000; reporting.now += 100) {
    await vm.reportDue();
  }
  const tries = reporting.lines.filter((line) => line === 'settle failed').length;
  assert.ok(tries <= seconds / 2 + 4, `${tries} tries`);
  reporting.writeOutcomes = [];
  await playUntil(reporting, [vm], reporting.now + 4_000);
  assert.ok(reporting.lines.includes('reported 0'));
});

test('a holder that is cut off from the VMs that count settles nothing', async () => {
  const reporting = Object.assign(new ReportingSimulation(), { isCutOff: true });
  const vm = reporting.createVm('a', () => 1);
  await playUntil(reporting, [vm], 3 * WINDOW_MS);
  assert.equal(reporting.lines, []);
  reporting.isIsolated = false;
  await playUntil(reporting, [vm], 4 * WINDOW_MS);
  assert.equal(reporting.listWindows(), [0, 1, 2]);
});

/** Reports of a real holder whose process stood still for so long while it settled. */
async function standStill(forMs: number): Promise<ReportingSimulation> {
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
  for (let look = 0; look < 3; look += 1) {
    await vm.reportDue();
  }
  return reporting;
}

test('a holder that stood still between settling and reporting does not report', async () => {
  const brief = await standStill(1_800);
  assert.equal(brief.lines, ['settled 0', 'reported 0']);
  // The lease lasts, but not until the report has surely arrived.
  const long = await standStill(2_000);
  assert.equal(long.lines, ['settled 0']);
  assert.equal(long.reports, []);
});

test('behind an item that makes no sense nothing older than the last ripe window is settled', async () => {
  const reporting = new ReportingSimulation();
  reporting.record = { value: Buffer.from('{}'), revision: 50 };
  reporting.now = 6 * WINDOW_MS;
  await playUntil(reporting, [reporting.createVm('a', () => 1)], 7 * WINDOW_MS);
  assert.is(reporting.lines[0], 'unreadable, left out to 3');
  assert.equal(reporting.listWindows(), [4, 5]);
});

test('a report that is called invalid three times is given up, with a line', async () => {
  const reporting = new ReportingSimulation();
  reporting.callOutcomes = ['invalid', 'invalid', 'invalid'];
  await playUntil(reporting, [reporting.createVm('a', () => 1)], 3 * WINDOW_MS);
  assert.ok(reporting.lines.includes('given up 0'));
  assert.equal(reporting.listWindows(), [1]);
});

test('a refusal is told to the duty, and the token is not used again', async () => {
  const reporting = new ReportingSimulation();
  reporting.callOutcomes = ['refused'];
  await playUntil(reporting, [reporting.createVm('a', () => 1)], WINDOW_MS + SETTLE_AFTER_MS + 600);
  assert.equal(reporting.lines, ['settled 0', 'report failed', 'outdated 1']);
});

test('windows that nobody left counted from the beginning are left out, with a line', async () => {
  const reporting = new ReportingSimulation();
  await playUntil(reporting, [reporting.createVm('a', () => 1)], 2 * WINDOW_MS);
  reporting.now = 6 * WINDOW_MS;
  reporting.token = 2;
  await playUntil(reporting, [reporting.createVm('b', () => 2, 7)], 9 * WINDOW_MS);
  assert.ok(reporting.lines.includes('skipped 1-4 not-counted'));
  assert.ok(reporting.lines.includes('reported 7'));
});

test('windows that are older than what is kept are left out, with a line', async () => {
  const reporting = new ReportingSimulation();
  reporting.now = 40 * WINDOW_MS;
  await playUntil(reporting, [reporting.createVm('a', () => 1)], 42 * WINDOW_MS);
  assert.is(reporting.lines[0], 'skipped 0-28 too-old');
});

test(`${RUNS} schedules of two VMs that both believe: no two reports differ`, async () => {
  const fate = fc.constantFrom<CallOutcome>('answered', 'answered', 'unheard', 'late', 'undone');
  const step = fc.record({
    /** Who looks; the other holds a token that is over, or will. */
    vm: fc.constantFrom(0, 1),
    takesOver: fc.integer({ min: 0, max: 5 }).map((number) => number === 0),
    carriesOut: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 20, maxLength: 60 }),
      fc.array(fate, { maxLength: 12 }),
      fc.array(fate, { maxLength: 12 }),
      async (steps, writeFates, callFates) => {
        const reporting = Object.assign(new ReportingSimulation(), { writeFates, callFates });
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
          reporting.now += LOOK_MS;
        }
        assert.equal(reporting.listDiffering(), []);
      },
    ),
    { numRuns: RUNS, seed: 33 },
  );
});

test.run();
