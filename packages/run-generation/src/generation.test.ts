import { PortFault } from '@limelead/errors';
import type { EngineStream, ModelEngine, PortCall } from '@limelead/ports';
import { createManualTime, flushPromises } from '@limelead/stand-ins';
import type { AnswerMessage, EngineMessage, StartOrder } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { begin, collect, createDependencies } from './generation.fixture.js';

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
  return { time, engines, dependencies: createDependencies(time, engines) };
}

async function nextKind(messages: AsyncGenerator<AnswerMessage>): Promise<string> {
  const next: IteratorResult<AnswerMessage, unknown> = await messages.next();
  return next.done === true ? 'done' : next.value.kind;
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
