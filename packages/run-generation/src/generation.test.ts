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
import Generation, { createGapTable, type GenerationDependencies } from './index.js';

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

/** An engine whose stream is fed by the test. */
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

  private open(note: () => void): PortCall<EngineStream> {
    return async () => {
      note();
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
  let drawn = 0;
  const dependencies: GenerationDependencies = {
    clock: time.clock,
    timers: time.timers,
    random: { next: () => (drawn = (drawn + 0.37) % 1) },
    metrics: createMetrics(),
    bus: createEventBus('vm-1', time.clock),
    targets,
    gaps: createGapTable(),
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

/** Collects the messages of a generation as they come. */
function collect(generation: Generation) {
  const messages: AnswerMessage[] = [];
  const ended = (async () => {
    try {
      for await (const message of generation.messages()) {
        messages.push(message);
      }
      return 'whole';
    } catch (thrown) {
      return thrown instanceof LimeleadError ? thrown.kind : 'unforeseen';
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

function engineThatStarted(engines: FakeEngine[], order = 0): FakeEngine {
  const started = engines.filter((engine) => engine.started.length > 0);
  const engine = started[order];
  assert.ok(engine, 'expected an engine to be started');
  return engine;
}

test('a caller that stops reading stops the reading from the engine', async () => {
  const { engines, dependencies } = createSystem(1);
  const messages = begin(dependencies).messages();
  assert.is(await nextKind(messages), 'started');
  const engine = engineThatStarted(engines);
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

test('a silent engine is hedged, and the loser is cancelled', async () => {
  const { time, engines, dependencies } = createSystem(2);
  const answer = collect(begin(dependencies));
  await time.advance(1);
  const first = engineThatStarted(engines);
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
  assert.is(await answer.ended, 'whole');
  assert.equal(answer.tokens(), ['a', 'b']);
});

test('a caller hears a sign of life while the engine is slow', async () => {
  const { time, dependencies } = createSystem(1);
  const generation = begin(dependencies);
  const answer = collect(generation);
  await time.advance(1_800);
  const kinds = answer.messages.map(({ kind }) => kind);
  assert.is(kinds.filter((kind) => kind === 'keep-alive').length, 3);
  generation.cancel();
  assert.is(await answer.ended, 'cancelled');
});

test('cancelling reaches the engine at once', async () => {
  const { time, engines, dependencies } = createSystem(1);
  const generation = begin(dependencies);
  const answer = collect(generation);
  await time.advance(1);
  generation.cancel();
  await time.advance(1);
  const engine = engineThatStarted(engines);
  assert.equal(engine.cancelled, [engine.started[0]?.generationId]);
  assert.is(await answer.ended, 'cancelled');
});

test('a resumable caller that is lost keeps its generation for the grace, another does not', async () => {
  for (const resumable of [true, false]) {
    const { time, engines, dependencies } = createSystem(1);
    const generation = begin(dependencies, { resumable });
    const answer = collect(generation);
    await time.advance(1);
    generation.abandon();
    await time.advance(4_000);
    const engine = engineThatStarted(engines);
    assert.is(engine.cancelled.length, resumable ? 0 : 1);
    await time.advance(2_000);
    assert.is(engine.cancelled.length, 1);
    assert.is(await answer.ended, 'cancelled');
  }
});

test('past its deadline a generation is cancelled and its caller is told', async () => {
  const { time, engines, dependencies } = createSystem(1);
  const deadlineAtMs = time.clock.now() + 50;
  const answer = collect(begin(dependencies, { deadlineAtMs }));
  await time.advance(60);
  assert.is(await answer.ended, 'deadline-passed');
  assert.is(engineThatStarted(engines).cancelled.length, 1);
});

test('without any target the caller is told at once that nothing was run', async () => {
  const { dependencies } = createSystem(0);
  const answer = collect(begin(dependencies));
  assert.is(await answer.ended, 'version-not-live');
});

test('a stopping VM hands a resumable answer over and leaves the engine alone', async () => {
  const { time, engines, dependencies } = createSystem(1);
  const generation = begin(dependencies);
  const answer = collect(generation);
  await time.advance(1);
  generation.drain();
  assert.is(await answer.ended, 'whole');
  assert.is(answer.messages.at(-1)?.kind, 'handover');
  await time.advance(60_000);
  assert.equal(engineThatStarted(engines).cancelled, []);
});

test.run();
