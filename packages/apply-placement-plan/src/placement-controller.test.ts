import { createHttpTargetConnector, createHttpTransport } from '@limelead/http-adapters';
import createMetrics from '@limelead/metrics';
import createEventBus from '@limelead/observe-events';
import {
  createInProcessStore,
  createKeyValueState,
  createManualTime,
  startEngine,
  type Engine,
} from '@limelead/stand-ins';
import type { ModelVersion, PlacementRule } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createPlacementController } from './index.js';

const OLD: ModelVersion = { model: 'tutor', adapter: '', version: '1' };
const NEW: ModelVersion = { model: 'tutor', adapter: '', version: '2' };

interface System {
  engines: Engine[];
  rules: PlacementRule[];
  time: ReturnType<typeof createManualTime>;
  /** Creates a controller; a paused one is not called. */
  createController(
    incarnation: string,
    beforeOrder?: () => Promise<void>,
  ): ReturnType<typeof createPlacementController>;
}

async function withSystem(
  checksFences: boolean,
  run: (system: System) => Promise<void>,
): Promise<void> {
  const time = createManualTime();
  const { clock } = time;
  const transport = createHttpTransport();
  const connector = createHttpTargetConnector(transport);
  const engines = await Promise.all(
    ['e1', 'e2'].map((id) => startEngine({ id, loaded: [OLD], checksFences, loadMs: 0, clock })),
  );
  const store = createInProcessStore(createKeyValueState(clock));
  const rules: PlacementRule[] = [];
  const createController: System['createController'] = (incarnation, beforeOrder) =>
    createPlacementController({
      store,
      clock,
      metrics: createMetrics(),
      bus: createEventBus(incarnation, clock),
      incarnation,
      limits: { maxPendingLoads: 10, retainMs: 1_000 },
      readView: () => ({
        rules,
        currentVersions: [],
        targets: engines.map((engine) => ({
          id: engine.id,
          failureDomain: 'suwon',
          loaded: engine.loaded(),
          load: 0,
        })),
      }),
      findEngine: (id) => {
        const engine = engines.find((candidate) => candidate.id === id);
        const port = connector.engine('127.0.0.1', engine?.port ?? 0);
        return {
          ...port,
          order: (order) => async () => {
            await beforeOrder?.();
            return port.order(order)();
          },
        };
      },
    });
  try {
    await run({ engines, rules, time, createController });
  } finally {
    await Promise.all(engines.map((engine) => engine.stop()));
    await transport.close();
  }
}

function versionsOf(engine: Engine | undefined): string[] {
  return (engine?.loaded() ?? []).map(({ version }) => version).sort();
}

test('only one controller sends orders, and the other one continues after its loss', () =>
  withSystem(true, async ({ engines, rules, time, createController }) => {
    const [firstController, secondController] = [
      createController('vm-1'),
      createController('vm-2'),
    ];
    rules.push({ name: 'r', ...NEW, targets: 1, failureDomains: [] });
    await firstController.reconcile();
    rules.splice(0, 1, { name: 'r', ...NEW, targets: 2, failureDomains: [] });
    await secondController.reconcile();
    assert.is(engines.flatMap((engine) => engine.orders()).length, 1);
    await time.advance(6_001);
    await secondController.reconcile();
    assert.equal(engines.map(versionsOf), [
      ['1', '2'],
      ['1', '2'],
    ]);
  }));

test('a new version is loaded everywhere before the old one is unloaded', () =>
  withSystem(true, async ({ engines, rules, time, createController }) => {
    const only = createController('vm-1');
    rules.push({ name: 'r', ...NEW, targets: 2, failureDomains: [] });
    await only.reconcile();
    assert.equal(engines.map(versionsOf), [
      ['1', '2'],
      ['1', '2'],
    ]);
    await only.reconcile();
    await time.advance(1_001);
    await only.reconcile();
    assert.equal(engines.map(versionsOf), [['2'], ['2']]);
  }));

test('a late order of a paused controller is refused by targets that check fences', () =>
  withSystem(true, async ({ engines, rules, time, createController }) => {
    let wake: () => void = () => undefined;
    const paused = createController('vm-1', () => new Promise((resolve) => (wake = resolve)));
    rules.push({ name: 'r', ...NEW, targets: 2, failureDomains: [] });
    const work = paused.reconcile();
    await time.advance(6_001);
    const fresh = createController('vm-2');
    await fresh.reconcile();
    assert.is(engines.flatMap((engine) => engine.orders()).length, 2);
    wake();
    await work;
    assert.is(engines.flatMap((engine) => engine.orders()).length, 2, 'the late order was refused');
  }));

test('the next plan corrects a late unload at targets that do not check fences', () =>
  withSystem(false, async ({ engines, rules, time, createController }) => {
    let wake: () => void = () => undefined;
    const paused = createController('vm-1', () => new Promise((resolve) => (wake = resolve)));
    await paused.reconcile();
    await time.advance(1_001);
    const work = paused.reconcile();
    await time.advance(6_001);
    // The old version is required again while the first controller is paused before its unload
    // order.
    rules.push({ name: 'r', ...OLD, targets: 2, failureDomains: [] });
    const fresh = createController('vm-2');
    await fresh.reconcile();
    wake();
    await work;
    assert.is(engines.filter((engine) => versionsOf(engine).length === 0).length, 1);
    await fresh.reconcile();
    assert.equal(engines.map(versionsOf), [['1'], ['1']]);
  }));

test.run();
