import { createLocality } from '@limelead/locality';
import { NO_RATE_LIMITS, OPEN_GATE } from '@limelead/forward-request';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { ServiceTarget } from '@limelead/types';
import type { SchedulerAnswer, SchedulerRequest } from '@limelead/share-evidence';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import TargetScheduler from './target-scheduler.js';

const clock = { now: () => 1_000 };

function createTarget(index: number, slots = 4): ServiceTarget {
  return {
    id: `t${index}`,
    service: 'briefs',
    host: '10.0.0.1',
    port: index + 1,
    failureDomain: 'north',
    slots,
    leaving: false,
  };
}

const QUESTION: SchedulerRequest = {
  service: 'briefs',
  affinityKey: 'session',
  failureDomain: 'north',
  exclude: [],
  number: 1,
  part: 0,
  parts: 1,
};

function create(count: number, slots?: number) {
  const directory = new TargetDirectory(clock);
  directory.replaceAll(Array.from({ length: count }, (_, index) => createTarget(index, slots)));
  const locality = createLocality({ failureDomain: 'north', regionOf: {} });
  const scheduler = new TargetScheduler({
    ...{ self: 'self', clock, directory, locality },
    gate: OPEN_GATE,
    permits: NO_RATE_LIMITS,
  });
  let asked = 0;
  const advise = (peer: string, question: SchedulerRequest): SchedulerAnswer | undefined =>
    scheduler.advise(peer, question);
  const ask = (peer: string, question: Partial<SchedulerRequest> = {}): string | undefined => {
    asked += 1;
    return advise(peer, {
      ...QUESTION,
      affinityKey: `session ${asked}`,
      number: asked,
      ...question,
    })?.target;
  };
  return { directory, advise, ask };
}

test('VMs that ask at the same time get different idle targets', () => {
  const { ask } = create(40);
  const advised = Array.from({ length: 40 }, (_, index) => ask(`vm-${index}`));
  assert.is(new Set(advised).size, 40);
});

test('a target whose slots are all in use is not advised', () => {
  const { directory, ask } = create(1, 2);
  const load = { requests: 2, reading: 0, copies: 0, slowness: 1 };
  directory.onPeerLoad('vm-a', { targets: new Map([['t0', load]]), advice: 0 });
  assert.is(ask('vm-b'), undefined);
  directory.onPeerLoad('vm-a', { targets: new Map(), advice: 0 });
  assert.is(ask('vm-b'), 't0');
});

test('a stream that a version began is advised to that version, and its replica too', () => {
  const { directory, advise } = create(0);
  const versions = ['v1', 'v2', 'v1', 'v2'];
  directory.replaceAll(
    versions.map((version, index) => ({ ...createTarget(index), version, failureDomain: version })),
  );
  for (let number = 1; number <= 6; number += 1) {
    const answer = advise('vm', { ...QUESTION, number, softwareVersion: 'v2' });
    assert.equal([answer?.target, answer?.copyTo].sort(), ['t1', 't3']);
  }
});

test('only targets of the requested part are advised', () => {
  const { ask } = create(40);
  const even = new Set(Array.from({ length: 20 }, () => ask('vm', { part: 0, parts: 2 })));
  const odd = new Set(Array.from({ length: 20 }, () => ask('vm', { part: 1, parts: 2 })));
  assert.ok(even.size >= 15 && odd.size >= 15);
  assert.not([...even].some((target) => odd.has(target)));
});

test('replicas are spread over the targets of other failure domains', () => {
  const { directory, advise } = create(12);
  const south = Array.from({ length: 10 }, (_, index) => ({
    ...createTarget(100 + index),
    failureDomain: 'south',
  }));
  directory.apply(south.map((target) => ({ kind: 'put', target })));
  const replicaTargets = Array.from({ length: 10 }, (_, index) =>
    advise(`vm-${index}`, { ...QUESTION, number: 1, affinityKey: `session ${index}` }),
  ).map((answer) => answer?.copyTo);
  assert.is(new Set(replicaTargets).size, 10);
  assert.ok(
    replicaTargets.every(
      (replicaTarget) => directory.get(replicaTarget ?? '')?.target.failureDomain === 'south',
    ),
  );
});

test("this VM's own advice is not counted as a peer's load", () => {
  const { directory, ask } = create(1);
  ask('self');
  assert.is(directory.get('t0')?.peerRequests, 0);
});

test.run();
