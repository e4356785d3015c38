import { isSameModelVersion, type ModelVersion, type PlacementRule } from '@limelead/types';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import assemblePlacementPlan, { type PlacedTarget, type PlacementInputs } from './index.js';

const OLD: ModelVersion = { model: 'tutor', adapter: '', version: '1' };
const NEW: ModelVersion = { model: 'tutor', adapter: '', version: '2' };

function rule(
  version: ModelVersion,
  targets: number,
  failureDomains: string[] = [],
): PlacementRule {
  return { name: `rule-${version.version}`, ...version, targets, failureDomains };
}

function target(index: number, loaded: ModelVersion[]): PlacedTarget {
  const failureDomain = index % 2 === 0 ? 'suwon' : 'osan';
  return { id: `e${index}`, failureDomain, loaded, load: 0 };
}

function createInputs(change: Partial<PlacementInputs>): PlacementInputs {
  return {
    rules: [],
    currentVersions: [],
    targets: [],
    pendingLoads: [],
    unusedSinceMs: new Map(),
    now: 100_000,
    limits: { maxPendingLoads: 2, retainMs: 60_000 },
    ...change,
  };
}

test('loads are spread over failure domains and paced', () => {
  const targets = Array.from({ length: 6 }, (_, index) => target(index, []));
  const orders = assemblePlacementPlan(createInputs({ rules: [rule(NEW, 4)], targets }));
  assert.equal(
    orders.map(({ targetId }) => targetId),
    ['e0', 'e1'],
  );
});

test('a load in progress is not ordered again', () => {
  const targets = [target(0, [])];
  const pendingLoads = [{ targetId: 'e0', modelVersion: NEW }];
  assert.equal(
    assemblePlacementPlan(createInputs({ rules: [rule(NEW, 1)], targets, pendingLoads })),
    [],
  );
});

test('the old version is unloaded only after the new one is loaded everywhere and a delay has passed', () => {
  const rules = [rule(NEW, 2)];
  const unusedSinceMs = new Map([['tutor/-@1', 0]]);
  const half = [target(0, [OLD, NEW]), target(1, [OLD])];
  const whole = [target(0, [OLD, NEW]), target(1, [OLD, NEW])];
  const actions = (change: Partial<PlacementInputs>) =>
    assemblePlacementPlan(createInputs({ rules, unusedSinceMs, ...change })).map(
      ({ action }) => action,
    );
  assert.equal(actions({ targets: half }), ['load']);
  assert.equal(actions({ targets: whole }), ['unload', 'unload']);
  assert.equal(actions({ targets: whole, unusedSinceMs: new Map([['tutor/-@1', 90_000]]) }), []);
  assert.equal(
    actions({ targets: whole, currentVersions: [OLD] }),
    [],
    'a service still starts answers with it',
  );
});

test('repeated plans meet every rule that can be met, and then send no more orders', () => {
  const versions = fc.constantFrom(OLD, NEW);
  fc.assert(
    fc.property(
      fc.array(fc.array(versions, { maxLength: 2 }), { minLength: 1, maxLength: 8 }),
      fc.nat(8),
      fc.nat(8),
      (loads, oldTargets, newTargets) => {
        const targets = loads.map((loaded, index) => target(index, [...new Set(loaded)]));
        const rules = [rule(OLD, oldTargets), rule(NEW, newTargets, ['suwon'])];
        for (let round = 0; round < 30; round += 1) {
          for (const order of assemblePlacementPlan(createInputs({ rules, targets }))) {
            assert.is(order.action, 'load', 'both versions are used');
            targets.find(({ id }) => id === order.targetId)?.loaded.push(order.modelVersion);
          }
        }
        const count = (version: ModelVersion, domain?: string) =>
          targets.filter(
            ({ loaded, failureDomain }) =>
              loaded.some((other) => isSameModelVersion(other, version)) &&
              (domain === undefined || failureDomain === domain),
          ).length;
        const inSuwon = targets.filter(({ failureDomain }) => failureDomain === 'suwon').length;
        assert.ok(count(OLD) >= Math.min(oldTargets, targets.length));
        assert.ok(count(NEW, 'suwon') >= Math.min(newTargets, inSuwon));
        assert.equal(assemblePlacementPlan(createInputs({ rules, targets })), []);
      },
    ),
    { seed: 10 },
  );
});

test.run();
