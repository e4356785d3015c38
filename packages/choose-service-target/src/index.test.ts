import { createLocality } from '@limelead/locality';
import {
  INITIAL_HEALTH,
  applyObservation,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import { hashText } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  chooseReplicaTarget,
  chooseServiceTarget,
  listLikelyTargets,
  type ServiceTargetCriteria,
} from './index.js';

function track(
  id: string,
  failureDomain: string,
  overrides: Partial<TrackedServiceTarget> = {},
): TrackedServiceTarget {
  return {
    target: {
      id,
      service: 'briefs',
      host: '10.0.0.1',
      port: 1,
      failureDomain,
      slots: 4,
      leaving: false,
    },
    hash: hashText(id),
    health: INITIAL_HEALTH,
    inFlight: 0,
    reading: 0,
    peerRequests: 0,
    peerReading: 0,
    lastReadingAtMs: 0,
    replicas: 0,
    peerReplicas: 0,
    ...overrides,
  };
}

function createRequest(overrides: Partial<ServiceTargetCriteria> = {}): ServiceTargetCriteria {
  return {
    affinityKey: 'session',
    failureDomain: 'north',
    locality: createLocality({ failureDomain: 'north', regionOf: {} }),
    exclude: new Set(),
    limit: ({ target }) => target.slots,
    isDomainSuspected: () => false,
    now: 1_000,
    ...overrides,
  };
}

const lost = applyObservation(INITIAL_HEALTH, { kind: 'lost' }, 900);

test('a replica goes to a target of the same software version, or nowhere', () => {
  const trackVersion = (id: string, version: string): TrackedServiceTarget => {
    const tracked = track(id, 'north');
    return { ...tracked, target: { ...tracked.target, version } };
  };
  const running = trackVersion('a', 'v1');
  const criteria = {
    ...{ affinityKey: 'session', running, now: 1_000, isDomainSuspected: () => false },
  };
  const others = [trackVersion('b', 'v2'), track('c', 'south')];
  assert.is(chooseReplicaTarget([running, ...others], criteria), undefined);
  const same = trackVersion('d', 'v1');
  assert.is(chooseReplicaTarget([running, ...others, same], criteria), same);
});

test('the own failure domain is preferred until it is clearly busier', () => {
  const idle = [track('a', 'north'), track('b', 'south')];
  assert.is(chooseServiceTarget(idle, createRequest())?.target.id, 'a');
  const busy = [track('a', 'north', { inFlight: 3 }), track('b', 'south')];
  assert.is(chooseServiceTarget(busy, createRequest())?.target.id, 'b');
});

test('a target that is reading a prompt ranks after one that only generates', () => {
  const reading = track('a', 'north', { inFlight: 1, reading: 1 });
  const writing = track('b', 'north', { inFlight: 1 });
  const choose = (targets: TrackedServiceTarget[]) =>
    chooseServiceTarget(targets, createRequest())?.target.id;
  assert.is(choose([reading, writing]), 'b');
  const busy = track('c', 'north', { inFlight: 3 });
  assert.is(choose([track('a', 'north', { peerRequests: 1, peerReading: 1 }), busy]), 'a');
});

test('a session gets the same target from every VM, and sessions are spread over targets', () => {
  const targets = ['a', 'b', 'c', 'd'].map((id) => track(id, 'north'));
  const choose = (affinityKey: string, list: TrackedServiceTarget[]) =>
    chooseServiceTarget(list, createRequest({ affinityKey }))?.target.id;
  const counts = new Map<string | undefined, number>();
  for (let index = 0; index < 400; index += 1) {
    const id = choose(`s${index}`, targets);
    assert.is(choose(`s${index}`, [...targets].reverse()), id);
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.ok(Math.min(...counts.values()) > 60);
});

test('suspected and already tried targets are chosen only as the last resort', () => {
  const near = track('a', 'north', { health: lost });
  const far = track('b', 'south');
  assert.is(chooseServiceTarget([near, far], createRequest())?.target.id, 'b');
  assert.is(chooseServiceTarget([near], createRequest())?.target.id, 'a');
  const exclude = new Set(['b']);
  assert.is(chooseServiceTarget([near, far], createRequest({ exclude }))?.target.id, 'a');
  const isNorthSuspected = (domain: string): boolean => domain === 'north';
  const fresh = [track('a', 'north'), far];
  assert.is(
    chooseServiceTarget(fresh, createRequest({ isDomainSuspected: isNorthSuspected }))?.target.id,
    'b',
  );
});

test('a slow target is chosen only if the others have far more load', () => {
  const slow = applyObservation(INITIAL_HEALTH, { kind: 'paced', slowness: 3 }, 1_000);
  const busy = [track('a', 'north', { health: slow }), track('b', 'south', { inFlight: 3 })];
  assert.is(chooseServiceTarget(busy, createRequest())?.target.id, 'b');
  const full = [track('a', 'north', { health: slow }), track('b', 'south', { inFlight: 4 })];
  assert.is(chooseServiceTarget(full, createRequest())?.target.id, 'a');
});

test('a full target is not chosen', () => {
  const full = track('a', 'north', { inFlight: 4 });
  assert.is(chooseServiceTarget([full], createRequest()), undefined);
  const health = { ...INITIAL_HEALTH, fullUntilMs: 1_001 };
  assert.is(
    chooseServiceTarget([track('a', 'north', { health: health })], createRequest()),
    undefined,
  );
});

test('a replica is kept in another failure domain, and replicas are spread over targets', () => {
  const running = track('a', 'north');
  const targets = [running, track('b', 'north'), track('c', 'south'), track('d', 'south')];
  const chooseReplica = (affinityKey: string, list = targets) =>
    chooseReplicaTarget(list, { affinityKey, running, isDomainSuspected: () => false, now: 1_000 })
      ?.target.id;
  const replicaTargets = new Set(
    Array.from({ length: 40 }, (_, index) => chooseReplica(`s${index}`)),
  );
  assert.equal([...replicaTargets].sort(), ['c', 'd']);
  assert.is(chooseReplica('s', [running, track('b', 'north')]), 'b');
  assert.is(chooseReplica('s', [running]), undefined);
});

test('the likely targets of a session in a large fleet are its first choices in each failure domain', () => {
  const domains = ['a', 'b', 'c', 'd', 'e'];
  const targets = Array.from({ length: 196 }, (_, index) =>
    track(`t${index}`, domains[index % domains.length] ?? 'a'),
  );
  const likely = listLikelyTargets(targets, 'session', 24);
  assert.is(likely.length, 20);
  for (const failureDomain of domains) {
    const exclude = new Set<string>();
    const request = createRequest({ affinityKey: 'session', failureDomain, exclude });
    const first = chooseServiceTarget(targets, request);
    exclude.add(first?.target.id ?? '');
    const second = chooseServiceTarget(targets, request);
    assert.ok(first && second && likely.includes(first) && likely.includes(second));
  }
  assert.equal(listLikelyTargets(targets.slice(0, 24), 'session', 24), targets.slice(0, 24));
});

const REGION_OF = { north: 'inland', hills: 'inland', south: 'coast', islands: 'coast' };
const inRegions = createLocality({ failureDomain: 'north', regionOf: REGION_OF });

test('a region keeps its requests until it has three more per target than another', () => {
  const choose = (busy: number): string | undefined => {
    const targets = [
      track('own', 'north', { inFlight: busy }),
      track('near', 'hills', { peerRequests: busy }),
      track('far', 'south'),
    ];
    return chooseServiceTarget(targets, createRequest({ locality: inRegions }))?.target.id;
  };
  assert.is(choose(1), 'own');
  assert.is(choose(3), 'far');
});

test('a region whose targets are lost is served by another region', () => {
  const targets = [track('own', 'north', { health: lost }), track('far', 'south')];
  assert.is(chooseServiceTarget(targets, createRequest({ locality: inRegions }))?.target.id, 'far');
});

test.run();
