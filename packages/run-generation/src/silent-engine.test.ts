import { createManualTime, flushPromises, type ManualTime } from '@limelead/stand-ins';
import type { TargetTable } from '@limelead/track-targets';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  applyReport,
  begin,
  collect,
  createDependencies,
  REQUEST,
  VERSION,
} from './generation.fixture.js';
import Generation from './index.js';
import WritingEngine, { tokenAt, TOKEN_GAP_MS } from './writing-engine.fixture.js';

const ANSWER_TOKENS = 60;
const LONG_ANSWER_TOKENS = 400;
/** Tokens delivered before the first silence. */
const TOKENS_BEFORE_SILENCE = 10;
const SILENCE_MS = 1_500;
/** Ends before a probe is given up. */
const SHORT_SILENCE_MS = 400;
/** Longer than the waits for a silent run whose engine answers probes. */
const PREEMPTION_MS = 3_000;
/** Longer than a silence. */
const OTHER_BLOCKED_MS = 3_000;
/** Upper limit of the search for a target after a break. */
const MAX_SEARCH_MS = 13_000;
/** Longest time that an engine may work on an attempt after its successor was started. */
const MAX_OVERLAP_MS = 400;
/** Longer than the search for a target after a break. */
const LONG_SILENCE_MS = 20_000;
/** More than the breaks that end a generation. */
const SILENCE_COUNT = 20;
const REPORT_INTERVAL_MS = 500;
const DEADLINE_MS = 120_000;

interface Policy {
  hedge: boolean;
  probeFirst: boolean;
}

const POLICIES: Policy[] = [
  { hedge: false, probeFirst: false },
  { hedge: false, probeFirst: true },
  { hedge: true, probeFirst: false },
  { hedge: true, probeFirst: true },
];

/** Starts an answer on one of several engines and delivers its first tokens. */
async function startAnswer(engineCount: number, policy: Policy, answerTokens = ANSWER_TOKENS) {
  const time = createManualTime();
  const engines = Array.from({ length: engineCount }, () => new WritingEngine(time, answerTokens));
  const dependencies = createDependencies(time, engines);
  pollReports(time, engines, dependencies.targets);
  const { priority } = REQUEST;
  const recovery = { ...priority.recovery, ...policy };
  const answer = collect(
    begin(dependencies, {
      priority: { ...priority, recovery },
      deadlineAtMs: time.clock.now() + DEADLINE_MS,
      maxTokens: answerTokens,
    }),
  );
  await time.advance(TOKENS_BEFORE_SILENCE * TOKEN_GAP_MS);
  const first = engines.find(({ started }) => started.length > 0);
  assert.ok(first);
  const other = engines.find((engine) => engine !== first) ?? first;
  const otherId = `e${engines.indexOf(other)}`;
  /** Keeps the second engine from being chosen for a while. */
  const blockOther = (forMs: number) =>
    dependencies.targets.adoptOpenBreaker(otherId, time.clock.now() + forMs);
  const unlist = (engine: WritingEngine) => {
    const vms = dependencies.targets.list().list.vms;
    const left = vms.filter(({ id }) => id !== `e${engines.indexOf(engine)}`);
    dependencies.targets.applyList({ version: 2, vms: left }, time.clock.now());
  };
  return { time, engines, first, other, blockOther, unlist, answer, dependencies };
}

/** Reads the load reports of all engines that answer. */
function pollReports(time: ManualTime, engines: WritingEngine[], targets: TargetTable): void {
  engines.forEach((engine, index) => {
    if (!engine.isSilent) {
      applyReport(targets, `e${index}`, time.clock.now());
    }
  });
  time.timers.after(REPORT_INTERVAL_MS, () => pollReports(time, engines, targets));
}

/** Lets engines fall silent for a while. */
async function fallSilent(
  time: ManualTime,
  engines: WritingEngine[],
  forMs: number,
  answersRequests = false,
) {
  engines.forEach((engine) => engine.pause(answersRequests));
  await time.advance(forMs);
  engines.forEach((engine) => engine.resume());
}

/** Fails unless the whole answer has arrived. */
async function assertWhole(answer: ReturnType<typeof collect>, length = ANSWER_TOKENS) {
  const outcome = await Promise.race([answer.ended, flushPromises().then(() => 'open')]);
  assert.is(`${outcome} after ${answer.tokens().length}`, `complete after ${length}`);
  const whole = Array.from({ length }, (_, offset) => tokenAt(offset));
  assert.equal(answer.tokens(), whole);
}

for (const policy of POLICIES) {
  const name = `hedge ${policy.hedge}, probe first ${policy.probeFirst}`;

  test(`an answer is taken from its only engine for a silence: ${name}`, async () => {
    const { time, engines, first, answer } = await startAnswer(1, policy);
    await fallSilent(time, engines, SILENCE_MS);
    await time.advance(2 * ANSWER_TOKENS * TOKEN_GAP_MS);
    await assertWhole(answer);
    assert.is(first.started.length, 1, 'number of starts');
    assert.equal(first.cancelled, []);
  });

  test(`an answer ends although its engines go on after a silence: ${name}`, async () => {
    const { time, engines, answer } = await startAnswer(3, policy);
    await fallSilent(time, engines, SILENCE_MS);
    await time.advance(2 * ANSWER_TOKENS * TOKEN_GAP_MS);
    await assertWhole(answer);
  });

  test(`an answer is taken from its only engine, which answers probes: ${name}`, async () => {
    const { time, engines, first, answer } = await startAnswer(1, policy);
    await fallSilent(time, engines, PREEMPTION_MS, true);
    await time.advance(2 * ANSWER_TOKENS * TOKEN_GAP_MS);
    await assertWhole(answer);
    assert.is(first.started.length, 1, 'number of starts');
    assert.equal(first.cancelled, []);
  });

  for (const engineCount of [1, 3]) {
    test(`an answer ends in a long silence of ${engineCount} engines: ${name}`, async () => {
      const { time, engines, answer } = await startAnswer(engineCount, policy);
      await fallSilent(time, engines, LONG_SILENCE_MS);
      await time.advance(4 * ANSWER_TOKENS * TOKEN_GAP_MS);
      await assertWhole(answer);
    });

    test(`an answer ends after many silences of ${engineCount} engines: ${name}`, async () => {
      const { time, engines, answer } = await startAnswer(engineCount, policy, LONG_ANSWER_TOKENS);
      for (let silence = 0; silence < SILENCE_COUNT; silence += 1) {
        await fallSilent(time, engines, SILENCE_MS);
        await time.advance(10 * TOKEN_GAP_MS);
      }
      await time.advance(2 * LONG_ANSWER_TOKENS * TOKEN_GAP_MS);
      await assertWhole(answer, LONG_ANSWER_TOKENS);
    });
  }

  test(`an answer leaves its silent engine before another one takes it: ${name}`, async () => {
    const { time, first, other, blockOther, answer } = await startAnswer(2, policy);
    blockOther(OTHER_BLOCKED_MS);
    first.pause();
    await time.advance(OTHER_BLOCKED_MS + 2 * ANSWER_TOKENS * TOKEN_GAP_MS);
    await assertWhole(answer);
    const startedAtMs = other.startedAtMs[0] ?? 0;
    const cancelledAtMs = first.cancelRequestedAtMs[0] ?? 0;
    assert.ok(cancelledAtMs >= startedAtMs, `${startedAtMs - cancelledAtMs} ms too early`);
    assert.ok(cancelledAtMs - startedAtMs <= MAX_OVERLAP_MS, 'too late');
  });

  test(`an answer moves after its engine has gone on: ${name}`, async () => {
    const { time, first, other, blockOther, answer } = await startAnswer(2, policy);
    blockOther(OTHER_BLOCKED_MS);
    await fallSilent(time, [first], SILENCE_MS);
    await time.advance(2 * ANSWER_TOKENS * TOKEN_GAP_MS);
    await assertWhole(answer);
    assert.equal(other.started, []);
    assert.equal(first.cancelled, []);
  });

  test(`an answer waits for a silent engine that is not listed any more: ${name}`, async () => {
    const { time, first, unlist, answer } = await startAnswer(1, policy);
    first.pause();
    await time.advance(SILENCE_MS);
    unlist(first);
    await time.advance(MAX_SEARCH_MS);
    assert.is(await Promise.race([answer.ended, time.advance(0)]), 'version-not-live');
  });

  test(`an answer waits for a silent engine that has closed its stream: ${name}`, async () => {
    const { time, first, other, blockOther, answer } = await startAnswer(2, policy);
    blockOther(SILENCE_MS);
    first.pause();
    await time.advance(1_000);
    first.breakStreams();
    await time.advance(OTHER_BLOCKED_MS);
    assert.is(other.started.length, 1);
    await time.advance(ANSWER_TOKENS * TOKEN_GAP_MS);
    await assertWhole(answer);
  });
}

test('an answer moves on a late probe although its engine writes again', async () => {
  const { time, first, other, answer } = await startAnswer(2, { hedge: false, probeFirst: true });
  await fallSilent(time, [first], SHORT_SILENCE_MS);
  await time.advance(2 * ANSWER_TOKENS * TOKEN_GAP_MS);
  await assertWhole(answer);
  assert.equal(other.started, []);
  assert.equal(first.cancelled, []);
});

test('a request is refused while its only engine writes after some silences', async () => {
  const policy = { hedge: false, probeFirst: false };
  const { time, engines, dependencies } = await startAnswer(1, policy, LONG_ANSWER_TOKENS);
  for (let silence = 0; silence < 6; silence += 1) {
    await fallSilent(time, engines, SILENCE_MS);
    await time.advance(10 * TOKEN_GAP_MS);
  }
  const answer = collect(begin(dependencies, { maxTokens: LONG_ANSWER_TOKENS }));
  await time.advance(2 * LONG_ANSWER_TOKENS * TOKEN_GAP_MS);
  await assertWhole(answer, LONG_ANSWER_TOKENS);
});

test('a resumed answer leaves its generation in a silence of the engine', async () => {
  const time = createManualTime();
  const engine = new WritingEngine(time, ANSWER_TOKENS);
  const dependencies = createDependencies(time, [engine]);
  engine.run('g-1');
  engine.pause();
  const binding = { modelVersion: VERSION, seed: 1 };
  const resume = { binding, targetId: 'e0', generationId: 'g-1', attempt: 1 };
  const answer = collect(
    new Generation(dependencies, REQUEST, { resume, tries: 0, delivered: [tokenAt(0)] }),
  );
  await time.advance(SILENCE_MS);
  engine.resume();
  await time.advance(2 * ANSWER_TOKENS * TOKEN_GAP_MS);
  assert.is(await Promise.race([answer.ended, time.advance(0)]), 'complete');
  assert.is(answer.tokens().length, ANSWER_TOKENS - 1);
  assert.equal(engine.started, []);
  assert.equal(engine.cancelled, []);
});

test('an answer stays at an engine that does not know its generation any more', async () => {
  const { time, first, answer } = await startAnswer(1, { hedge: false, probeFirst: true });
  first.forgetGenerations();
  await fallSilent(time, [first], SILENCE_MS, true);
  assert.ok(first.started.length > 1);
  await time.advance(2 * ANSWER_TOKENS * TOKEN_GAP_MS);
  await assertWhole(answer);
});

test.run();
