import chooseTarget from '@limelead/choose-target';
import { LimeleadError, PortFault } from '@limelead/errors';
import createMetrics from '@limelead/metrics';
import createEventBus from '@limelead/observe-events';
import createRecoveryPacer from '@limelead/pace-recoveries';
import type { EngineStream, ModelEngine, PortCall } from '@limelead/ports';
import { createManualTime, flushPromises } from '@limelead/stand-ins';
import { createTargetTable } from '@limelead/track-targets';
import type { AnswerMessage, EngineMessage, GenerationRequest, StartOrder } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Generation, { createTokenGapTable, type GenerationDependencies } from './index.js';

const VERSION = { model: 'm', adapter: '', version: '1' };
const REQUEST: GenerationRequest = {
  requestId: 'r1',
  organisation: 'haneul',
  service: 'feedback-sheet',
  prompt: 'bar by bar',
  maxTokens: 100,
  priority: {
    name: 'urgent',
    rank: 0,
    deadlineMs: 0,
    maxQueueMs: 1_000,
    recovery: {
      suspicionFactor: 4,
      minSilenceMs: 100,
      maxSilenceMs: 500,
      hedge: true,
      probeFirst: false,
    },
  },
  paceTokensPerSecond: 0,
  resumable: true,
};

/** Engine whose stream messages are supplied by the test. */
class FakeEngine {
  readonly started: StartOrder[] = [];
  readonly cancelled: string[] = [];
  reads = 0;
  isClosed = false;
  private ready: (EngineMessage | undefined)[] = [];
  private wake: () => void = () => undefined;

  readonly port: Partial<ModelEngine> = {
    start: (order) => this.open(() => this.started.push(order)),
    attach: () => async () => E.left(new PortFault('gone', 'maybe', 'not found')),
    cancel: (generationId) => async () => {
      this.cancelled.push(generationId);
      return E.right(undefined);
    },
  };

  feed(...messages: (EngineMessage | undefined)[]): void {
    this.ready.push(...messages);
    this.wake();
  }

  private open(onOpen: () => void): PortCall<EngineStream> {
    return async () => {
      onOpen();
      this.feed({ kind: 'accepted', cachedPromptTokens: 0, promptTokens: 3 });
      return E.right({ read: () => this.read(), close: () => this.close() });
    };
  }

  private async read(): Promise<EngineMessage | undefined> {
    this.reads += 1;
    while (this.ready.length === 0 && !this.isClosed) {
      await new Promise<void>((resolve) => (this.wake = resolve));
    }
    return this.ready.shift();
  }

  private close(): void {
    this.isClosed = true;
    this.wake();
  }
}

function createSystem(engineCount: number) {
  const time = createManualTime();
  const engines = Array.from({ length: engineCount }, () => new FakeEngine());
  const targets = createTargetTable({ maxListAgeMs: Number.MAX_SAFE_INTEGER });
  const vms = engines.map((_, index) => ({
    id: `e${index}`,
    role: 'engine' as const,
    host: '127.0.0.1',
    port: index,
    failureDomain: 'suwon',
    leaving: false,
    services: [],
  }));
  targets.applyList({ version: 1, vms }, 0);
  for (const { id } of vms) {
    const report = { takenAtMs: 0, running: 0, waiting: 0, slots: 8, tokenGapMs: 10, fence: 0 };
    const now = time.clock.now();
    targets.applyReport(id, { ...report, prefillTokensPerSecond: 1e6, loaded: [VERSION] }, now);
  }
  let randomValue = 0;
  const dependencies: GenerationDependencies = {
    clock: time.clock,
    timers: time.timers,
    random: { next: () => (randomValue = (randomValue + 0.37) % 1) },
    metrics: createMetrics(),
    bus: createEventBus('vm-1', time.clock),
    targets,
    gaps: createTokenGapTable(),
    connector: {
      engine: (_, port) => engines[port]?.port as ModelEngine,
      plainService: () => {
        throw new Error('not used');
      },
      hashPrompt: () => [],
    },
    pacer: createRecoveryPacer(() => 10),
    chooseTarget,
    failureDomain: 'suwon',
    incarnation: 'vm-1.a',
    currentVersion: () => VERSION,
    abandonedGraceMs: 5_000,
    onBreakerOpened: () => undefined,
  };
  return { time, engines, dependencies };
}

/** Collects the messages of a generation. */
function collect(generation: Generation) {
  const messages: AnswerMessage[] = [];
  const ended = (async () => {
    try {
      for await (const message of generation.messages()) {
        messages.push(message);
      }
      return 'complete';
    } catch (thrown) {
      return thrown instanceof LimeleadError ? thrown.kind : 'unexpected';
    }
  })();
  const tokens = () =>
    messages.flatMap((message) => (message.kind === 'tokens' ? message.tokens : []));
  return { messages, ended, tokens };
}

async function nextKind(messages: AsyncGenerator<AnswerMessage>): Promise<string> {
  const next: IteratorResult<AnswerMessage, unknown> = await messages.next();
  return next.done === true ? 'done' : next.value.kind;
}

function begin(dependencies: GenerationDependencies, change: Partial<GenerationRequest> = {}) {
  return new Generation(dependencies, { ...REQUEST, ...change }, { tries: 0, delivered: [] });
}

function findStartedEngine(engines: FakeEngine[], index = 0): FakeEngine {
  const started = engines.filter((engine) => engine.started.length > 0);
  const engine = started[index];
  assert.ok(engine, 'expected an engine to be started');
  return engine;
}

test('back pressure from the caller stops reading from the engine', async () => {
  const { engines, dependencies } = createSystem(1);
  const messages = begin(dependencies).messages();
  assert.is(await nextKind(messages), 'started');
  const engine = findStartedEngine(engines);
  for (let offset = 0; offset < 50; offset += 1) {
    engine.feed({ kind: 'tokens', offset, tokens: ['t'] });
  }
  await flushPromises();
  const reads = engine.reads;
  assert.ok(reads <= 3, `${reads} reads`);
  assert.is(await nextKind(messages), 'tokens');
  await flushPromises();
  assert.ok(engine.reads <= reads + 1);
  await messages.return(undefined);
});

test('a silent engine is hedged and the losing attempt is cancelled', async () => {
  const { time, engines, dependencies } = createSystem(2);
  const answer = collect(begin(dependencies));
  await time.advance(1);
  const first = findStartedEngine(engines);
  first.feed({ kind: 'tokens', offset: 0, tokens: ['a'] });
  await time.advance(1_000);
  const second = engines.find((engine) => engine !== first);
  assert.equal(second?.started[0]?.forcedPrefix, ['a']);
  second?.feed({ kind: 'tokens', offset: 1, tokens: ['b'] });
  await time.advance(10);
  assert.equal(first.cancelled, [first.started[0]?.generationId]);
  first.feed({ kind: 'tokens', offset: 1, tokens: ['X'] });
  second?.feed({ kind: 'end', length: 2, reason: 'stop' });
  await time.advance(10);
  assert.is(await answer.ended, 'complete');
  assert.equal(answer.tokens(), ['a', 'b']);
});

test('keep-alives are sent while the engine is slow', async () => {
  const { time, dependencies } = createSystem(1);
  const generation = begin(dependencies);
  const answer = collect(generation);
  await time.advance(1_800);
  const kinds = answer.messages.map(({ kind }) => kind);
  assert.is(kinds.filter((kind) => kind === 'keep-alive').length, 3);
  generation.cancel();
  assert.is(await answer.ended, 'cancelled');
});

test('a cancellation is sent to the engine at once', async () => {
  const { time, engines, dependencies } = createSystem(1);
  const generation = begin(dependencies);
  const answer = collect(generation);
  await time.advance(1);
  generation.cancel();
  await time.advance(1);
  const engine = findStartedEngine(engines);
  assert.equal(engine.cancelled, [engine.started[0]?.generationId]);
  assert.is(await answer.ended, 'cancelled');
});

test('after a lost connection only a resumable generation runs on for the grace period', async () => {
  for (const resumable of [true, false]) {
    const { time, engines, dependencies } = createSystem(1);
    const generation = begin(dependencies, { resumable });
    const answer = collect(generation);
    await time.advance(1);
    generation.abandon();
    await time.advance(4_000);
    const engine = findStartedEngine(engines);
    assert.is(engine.cancelled.length, resumable ? 0 : 1);
    await time.advance(2_000);
    assert.is(engine.cancelled.length, 1);
    assert.is(await answer.ended, 'cancelled');
  }
});

test('a generation past its deadline is cancelled and fails with deadline-passed', async () => {
  const { time, engines, dependencies } = createSystem(1);
  const deadlineAtMs = time.clock.now() + 50;
  const answer = collect(begin(dependencies, { deadlineAtMs }));
  await time.advance(60);
  assert.is(await answer.ended, 'deadline-passed');
  assert.is(findStartedEngine(engines).cancelled.length, 1);
});

test('without any target the generation fails at once', async () => {
  const { dependencies } = createSystem(0);
  const answer = collect(begin(dependencies));
  assert.is(await answer.ended, 'version-not-live');
});

test('a draining VM hands over a resumable answer without cancelling it at the engine', async () => {
  const { time, engines, dependencies } = createSystem(1);
  const generation = begin(dependencies);
  const answer = collect(generation);
  await time.advance(1);
  generation.drain();
  assert.is(await answer.ended, 'complete');
  assert.is(answer.messages.at(-1)?.kind, 'handover');
  await time.advance(60_000);
  assert.equal(findStartedEngine(engines).cancelled, []);
});

test.run();
