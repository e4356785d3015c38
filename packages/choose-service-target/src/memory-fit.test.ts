import { createLocality } from '@limelead/locality';
import {
  applyObservation,
  INITIAL_HEALTH,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import { hashText } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  chooseReplicaTarget,
  chooseServiceTarget,
  type MemoryCriteria,
  type ServiceTargetCriteria,
} from './index.js';

const NOW = 1_000;

function track(
  id: string,
  failureDomain = 'north',
  overrides: Partial<TrackedServiceTarget> = {},
): TrackedServiceTarget {
  const target = { id, service: 's', host: 'h', port: 1, failureDomain, slots: 32, leaving: false };
  return {
    ...{ target, hash: hashText(id), health: INITIAL_HEALTH, inFlight: 0, reading: 0 },
    ...{ peerRequests: 0, peerReading: 0, lastReadingAtMs: 0, replicas: 0, peerReplicas: 0 },
    ...overrides,
  };
}

/** Memory of 88,000 tokens for runs of 9,000, with the tokens held by target id. */
function createMemory(
  held: Record<string, number>,
  overrides: Partial<MemoryCriteria> = {},
): MemoryCriteria {
  return {
    ...{ capacityTokens: 88_000, needTokens: 9_000, marginTokens: 9_000, isLastResort: false },
    heldAt: ({ target }) => held[target.id] ?? 0,
    ...overrides,
  };
}

function choose(
  targets: TrackedServiceTarget[],
  memory: MemoryCriteria | undefined,
  overrides: Partial<ServiceTargetCriteria> = {},
): string | undefined {
  return chooseServiceTarget(targets, {
    ...{ affinityKey: 'session', failureDomain: 'north', exclude: new Set<string>(), now: NOW },
    locality: createLocality({ failureDomain: 'north', regionOf: {} }),
    limit: ({ target }) => target.slots,
    isDomainSuspected: () => false,
    memory,
    ...overrides,
  })?.target.id;
}

const lost = applyObservation(INITIAL_HEALTH, { kind: 'lost' }, NOW - 100);

// Guards against runs that are preempted at a full target while another one has room.
test('a run goes elsewhere if it does not fit with the margin of one run', () => {
  const targets = [track('near'), track('far', 'south')];
  assert.is(choose(targets, createMemory({ near: 70_000 })), 'near');
  assert.is(choose(targets, createMemory({ near: 70_001 })), 'far');
  assert.is(choose(targets, undefined), 'near');
});

test('a run that fits nowhere waits, and as the last resort takes the emptiest target', () => {
  const targets = [track('a'), track('b', 'south'), track('c')];
  const held = { a: 84_000, b: 75_000, c: 88_000 };
  assert.is(choose(targets, createMemory(held)), undefined);
  assert.is(choose(targets, createMemory(held, { isLastResort: true })), 'b');
});

// Guards against runs that are sent to targets that just went down, whose memory is empty.
test('a run waits rather than go to a suspected, excluded or suspectedly lost target', () => {
  const memory = createMemory({ full: 80_000 });
  const full = track('full');
  assert.is(choose([full, track('down', 'south', { health: lost })], memory), undefined);
  assert.is(choose([full, track('b', 'south')], memory, { exclude: new Set(['b']) }), undefined);
  const isDomainSuspected = (domain: string): boolean => domain === 'south';
  assert.is(choose([full, track('b', 'south')], memory, { isDomainSuspected }), undefined);
  const last = createMemory({ full: 80_000 }, { isLastResort: true });
  assert.is(choose([full, track('down', 'south', { health: lost })], last), 'full');
  assert.is(choose([track('down', 'south', { health: lost })], memory), 'down');
});

// Guards against large requests that never start.
test('a run larger than the memory less the margin runs at an empty target', () => {
  const memory = createMemory({ a: 1 }, { needTokens: 85_000 });
  assert.is(choose([track('a')], memory), undefined);
  assert.is(choose([track('a'), track('b', 'south')], memory), 'b');
});

// Guards against sessions that lose their cached prompt although there is memory.
test('memory has no effect on the choice up to three quarters', () => {
  const targets = ['a', 'b', 'c', 'd'].map((id) => track(id));
  const held = { a: 0, b: 30_000, c: 60_000, d: 66_000 };
  for (let index = 0; index < 100; index += 1) {
    const overrides = { affinityKey: `s${index}` };
    assert.is(
      choose(targets, createMemory(held), overrides),
      choose(targets, undefined, overrides),
    );
  }
  assert.is(
    choose([track('a'), track('b')], createMemory({ a: 75_000, b: 66_000 }, { needTokens: 1_000 })),
    'b',
  );
});

test('the pace and the requests that targets state take the place of measured ones', () => {
  const targets = [track('near'), track('far', 'south')];
  const slow = (id: string) => (tracked: TrackedServiceTarget) =>
    tracked.target.id === id ? 2.5 : 1;
  assert.is(choose(targets, undefined, { paceOf: slow('near') }), 'far');
  assert.is(choose(targets, undefined, { paceOf: slow('far') }), 'near');
  const requestsAt = ({ target }: TrackedServiceTarget) => (target.id === 'near' ? 6 : 0);
  assert.is(choose(targets, undefined, { requestsAt }), 'far');
});

test('a long prompt that is being read delays a run more than a usual one', () => {
  const long = track('a', 'north', { inFlight: 1, reading: 1, extraReading: 3 });
  const usual = track('b', 'north', { inFlight: 2, reading: 2 });
  assert.is(choose([long, usual], undefined), 'b');
});

// Guards against replicas that take the memory of runs, or slow down the run that they belong to.
test('a replica is placed only where a run more fits and the pace is good', () => {
  const running = track('running');
  const targets = [running, track('b', 'south'), track('c', 'north')];
  const chooseReplica = (held: Record<string, number>, slow: string[] = []): string | undefined =>
    chooseReplicaTarget(targets, {
      ...{ affinityKey: 's', running, isDomainSuspected: () => false, now: NOW },
      paceOf: ({ target }) => (slow.includes(target.id) ? 1.6 : 1),
      memory: createMemory(held),
    })?.target.id;
  assert.is(chooseReplica({ b: 61_000 }), 'b');
  assert.is(chooseReplica({ b: 61_001 }), 'c');
  assert.is(chooseReplica({}, ['b']), 'c');
  assert.is(chooseReplica({ c: 70_000 }, ['b']), undefined);
});

test.run();
