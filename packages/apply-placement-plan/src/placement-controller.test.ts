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
  /** Creates a doer; a paused one is simply not asked to work. */
  doer(
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
  const doer: System['doer'] = (incarnation, beforeOrder) =>
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
    await run({ engines, rules, time, doer });
  } finally {
    await Promise.all(engines.map((engine) => engine.stop()));
    await transport.close();
  }
}

function versionsOf(engine: Engine | undefined): string[] {
  return (engine?.loaded() ?? []).map(({ version }) => version).sort();
}

test('of two doers one works, and after its loss the other goes on', () =>
  withSystem(true, async ({ engines, rules, time, doer }) => {
    const [first, second] = [doer('vm-1'), doer('vm-2')];
    rules.push({ name: 'r', ...NEW, targets: 1, failureDomains: [] });
    await first.reconcile();
    rules.splice(0, 1, { name: 'r', ...NEW, targets: 2, failureDomains: [] });
    await second.reconcile();
    assert.is(engines.flatMap((engine) => engine.orders()).length, 1);
    await time.advance(6_001);
    await second.reconcile();
    assert.equal(engines.map(versionsOf), [
      ['1', '2'],
      ['1', '2'],
    ]);
  }));

test('a change of version: the new one is loaded everywhere before the old one goes', () =>
  withSystem(true, async ({ engines, rules, time, doer }) => {
    const only = doer('vm-1');
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

test('a doer that is paused in the middle of an order is fenced where targets check', () =>
  withSystem(true, async ({ engines, rules, time, doer }) => {
    let wake: () => void = () => undefined;
    const paused = doer('vm-1', () => new Promise((resolve) => (wake = resolve)));
    rules.push({ name: 'r', ...NEW, targets: 2, failureDomains: [] });
    const work = paused.reconcile();
    await time.advance(6_001);
    const fresh = doer('vm-2');
    await fresh.reconcile();
    assert.is(engines.flatMap((engine) => engine.orders()).length, 2);
    wake();
    await work;
    assert.is(engines.flatMap((engine) => engine.orders()).length, 2, 'the late order was refused');
  }));

test('where targets do not check, a late unload is mended by the next plan', () =>
  withSystem(false, async ({ engines, rules, time, doer }) => {
    let wake: () => void = () => undefined;
    const paused = doer('vm-1', () => new Promise((resolve) => (wake = resolve)));
    await paused.reconcile();
    await time.advance(1_001);
    const work = paused.reconcile();
    await time.advance(6_001);
    // The operators want the old version again, while a doer sleeps on its unload order.
    rules.push({ name: 'r', ...OLD, targets: 2, failureDomains: [] });
    const fresh = doer('vm-2');
    await fresh.reconcile();
    wake();
    await work;
    assert.is(engines.filter((engine) => versionsOf(engine).length === 0).length, 1);
    await fresh.reconcile();
    assert.equal(engines.map(versionsOf), [['1'], ['1']]);
  }));

test.run();
