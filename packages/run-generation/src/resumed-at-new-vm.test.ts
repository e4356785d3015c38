import type { EngineStream, ModelEngine, PortCall } from '@limelead/ports';
import { createManualTime } from '@limelead/stand-ins';
import type { ModelVersion, StartOrder } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { collect, createDependencies, REQUEST, VERSION } from './generation.fixture.js';
import Generation from './index.js';

const OTHER_VERSION: ModelVersion = { ...VERSION, version: '2' };
const RESUME = {
  binding: { modelVersion: VERSION, seed: 7 },
  ...{ targetId: 'ended', generationId: 'g', attempt: 1, deadlineAtMs: undefined },
};

/** Engine that records what is started there and writes nothing. */
class IdleEngine {
  readonly started: StartOrder[] = [];
  readonly port: Partial<ModelEngine> = {
    start: (order): PortCall<EngineStream> => {
      this.started.push(order);
      const read = (): Promise<undefined> => new Promise(() => undefined);
      return async () => E.right({ read, close: () => undefined });
    },
    cancel: () => async () => E.right(undefined),
  };
}

/** A VM that just started and knows two engines with another version than that of the handle. */
function createSystem() {
  const time = createManualTime();
  const engines = [new IdleEngine(), new IdleEngine()];
  const dependencies = createDependencies(time, engines);
  const report = (id: string, version: ModelVersion): void =>
    dependencies.targets.applyReport(
      id,
      {
        ...{ takenAtMs: time.clock.now(), running: 0, waiting: 0, slots: 8, tokenGapMs: 10 },
        ...{ fence: 0, prefillTokensPerSecond: 1e6, loaded: [version] },
      },
      time.clock.now(),
    );
  report('e0', OTHER_VERSION);
  report('e1', OTHER_VERSION);
  const resume = (): ReturnType<typeof collect> =>
    collect(
      new Generation({ ...dependencies, currentVersion: () => OTHER_VERSION }, REQUEST, {
        resume: RESUME,
        tries: 0,
        delivered: ['a'],
      }),
    );
  return { time, engines, report, resume };
}

// Guards against a new VM that takes the version that it sees for that of the handle.
test('an answer goes on at the version of its handle, which the new VM has not seen yet', async () => {
  const { time, engines, report, resume } = createSystem();
  void resume();
  await time.advance(2_000);
  assert.equal(engines[1]!.started, []);
  report('e1', VERSION);
  await time.advance(2_000);
  assert.equal(engines[0]!.started, []);
  const [order] = engines[1]!.started;
  assert.equal(order?.modelVersion, VERSION);
  assert.equal(order?.forcedPrefix, ['a']);
  assert.is(order?.seed, 7);
});

// Guards against an answer of two versions where the first one is gone for good.
test('an answer whose version does not return ends as an error', async () => {
  const { time, engines, report, resume } = createSystem();
  const answer = resume();
  for (let second = 0; second < 15; second += 1) {
    await time.advance(1_000);
    report('e0', OTHER_VERSION);
    report('e1', OTHER_VERSION);
  }
  assert.equal(
    engines.flatMap(({ started }) => started),
    [],
  );
  assert.is(await answer.ended, 'version-not-live');
});

test.run();
