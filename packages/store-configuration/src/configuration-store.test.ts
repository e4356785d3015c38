import {
  applyChanges,
  EMPTY_CONFIGURATION,
  findSpec,
  type Configuration,
} from '@limelead/configuration-state';
import { LimeleadError } from '@limelead/errors';
import {
  createInProcessStore,
  createKeyValueState,
  createManualTime,
  type StoreFaults,
} from '@limelead/stand-ins';
import type { Change, ChangeRequest, Operation } from '@limelead/types';
import fc from 'fast-check';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createConfigurationStore, type StoredConfiguration } from './index.js';

function createSystem(faults?: StoreFaults) {
  const time = createManualTime();
  const state = createKeyValueState(time.clock);
  const store = createInProcessStore(state, faults);
  const configuration = createConfigurationStore(store, time.clock, time.timers);
  return { time, state, configuration };
}

type System = ReturnType<typeof createSystem>;

function putOrganisation(name: string, requestsPerSecond = 1): Operation {
  const spec = { name, keyHashes: [], weight: 1, requestsPerSecond, maxConcurrent: 1 };
  return { put: { kind: 'organisation', spec } };
}

function change(changeId: string, baseRevision: number, ...operations: Operation[]): ChangeRequest {
  return { changeId, baseRevision, operations, reason: 'test' };
}

async function apply(system: System, request: ChangeRequest, known = EMPTY_CONFIGURATION) {
  const applied = system.configuration.apply(known, request, 'mina');
  await system.time.advance(20_000);
  return applied;
}

async function read(
  system: System,
  known: Configuration = EMPTY_CONFIGURATION,
): Promise<StoredConfiguration> {
  const result = await system.configuration.read(known)();
  assert.ok(E.isRight(result));
  return result.right;
}

async function history(system: System): Promise<Change[]> {
  const changes = await system.configuration.listChanges(Number.MAX_SAFE_INTEGER, 1_000)();
  assert.ok(E.isRight(changes));
  return changes.right;
}

test('an accepted change is its own audit entry', async () => {
  const system = createSystem();
  await apply(system, change('c1', 0, putOrganisation('haneul')));
  const [entry] = await history(system);
  assert.is(entry?.operator, 'mina');
  assert.is(entry?.revision, 1);
  assert.is(entry?.reason, 'test');
  assert.is((await read(system)).configuration.revision, 1);
});

test('of two concurrent changes one is accepted and the other gets a conflict with the current state', async () => {
  const system = createSystem();
  await apply(system, change('c0', 0, putOrganisation('haneul')));
  const [first, second] = await Promise.all([
    apply(system, change('c1', 1, putOrganisation('haneul', 10))),
    apply(system, change('c2', 1, putOrganisation('haneul', 20))),
  ]);
  const refused = [first, second].filter(E.isLeft);
  assert.is(refused.length, 1);
  const error = refused[0]?.left;
  assert.ok(error instanceof LimeleadError && error.kind === 'conflict');
  assert.ok('current' in error && error.current.length === 1);
  assert.is((await history(system)).length, 2);
});

test('concurrent changes of different resources are all accepted', async () => {
  const system = createSystem();
  const outcomes = await Promise.all(
    ['a', 'b', 'c', 'd'].map((name) => apply(system, change(name, 0, putOrganisation(name)))),
  );
  assert.ok(outcomes.every(E.isRight));
  assert.is((await read(system)).configuration.revision, 4);
});

test('a put that ignores a newer removal is a conflict', async () => {
  const system = createSystem();
  await apply(system, change('c1', 0, putOrganisation('haneul')));
  await apply(system, change('c2', 1, { delete: { kind: 'organisation', name: 'haneul' } }));
  const outcome = await apply(system, change('c3', 1, putOrganisation('haneul', 5)));
  assert.ok(E.isLeft(outcome) && outcome.left.kind === 'conflict');
});

test('a change whose reply is lost is accepted once and reported as accepted', async () => {
  let losses = 1;
  const system = createSystem({
    isUnavailable: false,
    decideSwap: () => (losses-- > 0 ? 'reply-lost' : 'ok'),
  });
  const outcome = await apply(system, change('c1', 0, putOrganisation('haneul')));
  assert.ok(E.isRight(outcome));
  assert.is((await history(system)).length, 1);
});

test('during an outage of the service a change fails with store-unavailable', async () => {
  const faults: StoreFaults = { isUnavailable: true, decideSwap: () => 'ok' };
  const system = createSystem(faults);
  const outcome = await apply(system, change('c1', 0, putOrganisation('haneul')));
  assert.ok(E.isLeft(outcome) && outcome.left.kind === 'store-unavailable');
  faults.isUnavailable = false;
  assert.is((await history(system)).length, 0);
});

test('a change fails with outcome-unknown if the service executes it without a reply', async () => {
  const faults: StoreFaults = { isUnavailable: false, decideSwap: () => 'ok' };
  const system = createSystem(faults);
  faults.decideSwap = () => {
    faults.isUnavailable = true;
    return 'reply-lost';
  };
  const outcome = await apply(system, change('c1', 0, putOrganisation('haneul')));
  assert.ok(E.isLeft(outcome) && outcome.left.kind === 'outcome-unknown');
  faults.isUnavailable = false;
  assert.is((await history(system))[0]?.changeId, 'c1', 'the change took effect');
});

test('old changes are archived, and a new VM reads the same configuration', async () => {
  const system = createSystem();
  let known = EMPTY_CONFIGURATION;
  for (let revision = 0; revision < 250; revision += 1) {
    const operation = putOrganisation(`org-${revision % 90}`, revision + 1);
    const outcome = await apply(system, change(`c${revision}`, revision, operation), known);
    assert.ok(E.isRight(outcome));
    known = outcome.right.configuration;
  }
  const fresh = (await read(system)).configuration;
  assert.is(fresh.revision, 250);
  assert.equal([...fresh.resources].sort(), [...known.resources].sort());
  const revisions = (await history(system)).map(({ revision }) => revision);
  assert.equal(
    revisions,
    Array.from({ length: 250 }, (_, index) => 250 - index),
  );
  assert.ok(system.state.get('limelead/configuration/head').value.length < 400_000);
});

test('after a restore from a backup the newer configuration is written back', async () => {
  const system = createSystem();
  await apply(system, change('c1', 0, putOrganisation('haneul')));
  const backup = system.state.backUp();
  await apply(system, change('c2', 1, putOrganisation('haneul', 7)));
  const { configuration, changes } = await read(system);
  system.state.restore(backup);
  const stale = await read(system, configuration);
  assert.is(stale.storedRevision, 1);
  assert.is(stale.configuration.revision, 2, 'the configuration in force stays the newer one');
  await system.configuration.restore(configuration, changes)();
  const fresh = (await read(system)).configuration;
  assert.is(fresh.revision, 2);
  assert.is(findSpec(fresh, 'organisation', 'haneul')?.requestsPerSecond, 7);
});

test('matches a plain list of changes under lost replies and refusals', async () => {
  const step = fc.record({
    name: fc.constantFrom('a', 'b', 'c'),
    isStale: fc.boolean(),
    replies: fc.array(fc.constantFrom('ok' as const, 'refused' as const, 'reply-lost' as const), {
      maxLength: 3,
    }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 15 }), async (steps) => {
      let replies: ReturnType<StoreFaults['decideSwap']>[] = [];
      const system = createSystem({
        isUnavailable: false,
        decideSwap: () => replies.shift() ?? 'ok',
      });
      const accepted: string[] = [];
      let expected = EMPTY_CONFIGURATION;
      for (const [index, { name, isStale, replies: planned }] of steps.entries()) {
        replies = [...planned];
        const base = isStale ? Math.max(0, expected.revision - 1) : expected.revision;
        const request = change(`c${index}`, base, putOrganisation(name, index + 1));
        const outcome = await apply(system, request);
        if (E.isRight(outcome)) {
          accepted.push(request.changeId);
          const revision = expected.revision + 1;
          expected = applyChanges(expected, [{ ...request, revision, operator: 'mina', atMs: 0 }]);
        } else {
          assert.is(outcome.left.kind, 'conflict');
        }
      }
      const { configuration } = await read(system);
      assert.equal([...configuration.resources], [...expected.resources]);
      const audited = (await history(system)).map(({ changeId }) => changeId).reverse();
      assert.equal(audited, accepted);
    }),
    { seed: 5, numRuns: 60 },
  );
});

test.run();
