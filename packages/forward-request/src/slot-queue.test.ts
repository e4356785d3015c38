import { createLocality } from '@limelead/locality';
import type { HeldRequest } from '@limelead/track-backpressure';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { ServiceTarget, WaitingRequestQueue } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { SlotRefusal } from './slot-refusal.js';
import SlotQueue from './slot-queue.js';
import type { Slot, SlotRequest } from './slot-request.js';
import { NO_LIMITS, type SendPermits } from './send-permits.js';
import { NO_BACKPRESSURE, type TargetBackpressure } from './target-backpressure.js';
import { OPEN_GATE, type TargetGate } from './target-gate.js';

const clock = { now: () => 0 };
const REQUEST: SlotRequest = {
  requestId: 'r',
  service: 's',
  affinityKey: 'k',
  exclude: new Set(),
  rank: 1,
  untilMs: 1_000,
};

function toTarget(version: string, index: number): ServiceTarget {
  const id = `${version}-${index}`;
  const port = Number(version.slice(1)) * 10 + index;
  return {
    id,
    service: 's',
    host: 'h',
    port,
    failureDomain: 'd',
    slots: 1,
    leaving: false,
    version,
  };
}

/** A queue before a target of each of two versions; v2 is tried first. */
function create(
  gate: Partial<TargetGate>,
  permits: Partial<SendPermits> = {},
  backpressure: Partial<TargetBackpressure> = {},
) {
  const directory = new TargetDirectory(clock);
  directory.replaceAll([toTarget('v1', 0), toTarget('v2', 0)]);
  const sent: string[] = [];
  const queue = new SlotQueue({
    clock,
    timers: { after: () => () => undefined },
    directory,
    failureDomain: 'd',
    locality: createLocality({ failureDomain: 'd', regionOf: {} }),
    limit: ({ target }) => target.slots,
    gate: { ...OPEN_GATE, noteSent: ({ id }) => sent.push(id), ...gate },
    permits: { ...NO_LIMITS, ...permits },
    backpressure: { ...NO_BACKPRESSURE, isCoolingAny: true, ...backpressure },
    random: { next: () => 0 },
  });
  const slots: (Slot | undefined)[] = [];
  const refusals: (SlotRefusal | undefined)[] = [];
  const take = (exclude: string[] = []): void => {
    queue.acquire({ ...REQUEST, exclude: new Set(exclude) }, (slot, refusal) => {
      slots.push(slot);
      refusals.push(refusal);
    });
  };
  return { queue, sent, slots, refusals, take };
}

test('groups are tried in their order, and what is in none is not taken', () => {
  const { queue, sent, take } = create({
    arrange: (_, targets) => [targets.filter(({ target }) => target.version === 'v2')],
  });
  take();
  take();
  assert.equal(sent, ['v2-0']);
  assert.is(queue.waiting, 1);
});

test('the next group serves where the first has no slot', () => {
  const of =
    (version: string): TargetGate['arrange'] =>
    (_, targets) => [targets.filter(({ target }) => target.version === version)];
  const { sent, take } = create({
    arrange: (...facts) => [...of('v2')(...facts), ...of('v1')(...facts)],
  });
  take();
  take();
  assert.equal(sent, ['v2-0', 'v1-0']);
});

test('the gate is told of a request that a target already failed', () => {
  const repeats: boolean[] = [];
  const { take } = create({
    arrange: (_, targets, isRepeat) => {
      repeats.push(isRepeat);
      return [targets];
    },
  });
  take();
  take(['v1-0']);
  assert.equal(repeats, [false, true]);
});

test('a target without a permit is not taken, whichever way leads to it', () => {
  const permits = { isLimiting: true, maySend: (id: string) => id === 'v1-0' };
  const { queue, sent, take } = create({}, permits);
  assert.is(queue.acquireAt('v2-0'), undefined);
  assert.is(queue.acquireAtReplica('v2-0'), undefined);
  take();
  take();
  assert.equal(sent, ['v1-0']);
  assert.is(queue.waiting, 1);
});

test('a request waits for a permit rather than go back to the target that failed it', () => {
  const permits = { isLimiting: true, maySend: (id: string) => id === 'v1-0' };
  const { queue, sent, take } = create({}, permits);
  take(['v1-0']);
  assert.equal(sent, []);
  assert.is(queue.waiting, 1);
});

test('a certain target is taken only where the gate lets it', () => {
  const { queue, sent } = create({ mayTake: ({ version }) => version === 'v1' });
  assert.is(queue.acquireAt('v2-0'), undefined);
  assert.is(queue.acquireAt('v1-0')?.tracked.target.id, 'v1-0');
  assert.equal(sent, ['v1-0']);
});

test('a target in a cooldown is reached by no way', () => {
  const cooling = new Map([['v1-0', 5_000]]);
  const { queue, sent, take } = create({}, {}, { coolingUntilMs: (id) => cooling.get(id) });
  take();
  assert.equal(sent, ['v2-0']);
  assert.is(queue.acquireAt('v1-0'), undefined);
  assert.is(queue.acquireAtReplica('v1-0'), undefined);
  cooling.clear();
  assert.ok(queue.acquireAtReplica('v1-0'));
});

test('where all targets cool down, a request waits for the first one or is refused at once', () => {
  const held: string[] = [];
  let endMs = 900;
  const backpressure = {
    coolingUntilMs: () => endMs,
    onHeld: ({ requestId, waitMs }: HeldRequest) => void held.push(`${requestId} ${waitMs}`),
  };
  const { queue, slots, refusals, take } = create({}, {}, backpressure);
  take();
  assert.equal([slots.length, queue.waiting, held], [0, 1, ['r 900']]);
  endMs = 1_000;
  take();
  assert.equal(refusals, [{ kind: 'cooling', retryAfterMs: 1_000, targets: ['v1-0', 'v2-0'] }]);
});

test('a request is refused where the first target would have too little time for it', () => {
  const { queue } = create({}, {}, { coolingUntilMs: () => 960 });
  const refused: boolean[] = [];
  const receive = (_: unknown, refusal?: SlotRefusal): void =>
    void refused.push(refusal !== undefined);
  queue.acquire({ ...REQUEST, serviceMs: 50 }, receive);
  queue.acquire({ ...REQUEST, serviceMs: 30 }, receive);
  assert.equal([refused, queue.waiting], [[true], 1]);
});

test('a request that waits for want of targets is not held for a cooldown', () => {
  const held: string[] = [];
  const onHeld = ({ requestId }: HeldRequest): void => void held.push(requestId);
  const { queue } = create({}, {}, { coolingUntilMs: () => 900, onHeld });
  queue.acquire({ ...REQUEST, service: 'other' }, () => undefined);
  assert.equal([queue.waiting, held], [1, []]);
});

test('no permit is asked for while its target cools down', () => {
  let waiting: WaitingRequestQueue | undefined;
  const cooling = new Map([['v1-0', 5_000]]);
  const attach = (attached: WaitingRequestQueue): void => void (waiting = attached);
  create({}, { attach }, { coolingUntilMs: (id) => cooling.get(id) });
  assert.equal([waiting?.isAvoided('v1-0'), waiting?.isAvoided('v2-0')], [true, false]);
});

test('requests behind a cooldown are bounded by the slow start', () => {
  const { queue } = create({}, {}, { limitSlots: () => 0 });
  assert.is(queue.acquireAt('v1-0'), undefined);
});

test.run();
