import { createLocality } from '@limelead/locality';
import { TargetDirectory } from '@limelead/track-service-targets';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RunMemory } from './run-memory.js';
import { NO_RATE_LIMITS } from './send-permits.js';
import type { Slot, SlotRequest } from './slot-request.js';
import SlotQueue from './slot-queue.js';
import { NO_BACKPRESSURE } from './target-backpressure.js';
import { OPEN_GATE } from './target-gate.js';
import type { PlacementLimit } from './target-placement.js';

/** A queue with two targets of 20,000 tokens, and a clock whose timers run on `passTo`. */
function create(maxBodyBytes?: number) {
  const time = { now: 0 };
  let timers: { atMs: number; run: () => void }[] = [];
  const directory = new TargetDirectory({ now: () => time.now });
  directory.replaceAll(
    ['t1', 't2'].map((id, port) => ({
      ...{ id, service: 's', host: 'h', port, failureDomain: 'd', slots: 32, leaving: false },
    })),
  );
  const limits: PlacementLimit[] = [];
  const queue = new SlotQueue({
    clock: { now: () => time.now },
    timers: {
      after: (ms, run) => {
        const timer = { atMs: time.now + ms, run };
        timers.push(timer);
        return () => void (timers = timers.filter((other) => other !== timer));
      },
    },
    ...{
      directory,
      failureDomain: 'd',
      locality: createLocality({ failureDomain: 'd', regionOf: {} }),
    },
    limit: ({ target }) => target.slots,
    ...{ gate: OPEN_GATE, permits: NO_RATE_LIMITS, backpressure: NO_BACKPRESSURE },
    random: { next: () => 0 },
    maxBodyBytes: maxBodyBytes === undefined ? undefined : () => maxBodyBytes,
    onPlacementLimited: (limit) => void limits.push(limit),
  });
  const slots: Slot[] = [];
  const acquire = (requestId: string, need: Partial<SlotRequest> = {}): void => {
    const request = { service: 's', affinityKey: requestId, exclude: new Set<string>(), rank: 1 };
    queue.acquire({ requestId, ...request, untilMs: 60_000, ...need }, (slot) => {
      if (slot !== undefined) {
        slots.push(slot);
      }
    });
  };
  const passTo = (atMs: number): void => {
    while (time.now < atMs) {
      time.now = Math.min(atMs, ...timers.map((timer) => timer.atMs));
      const due = timers.filter((timer) => timer.atMs <= time.now);
      timers = timers.filter((timer) => timer.atMs > time.now);
      due.forEach(({ run }) => run());
    }
  };
  const listTargets = (): string[] => slots.map(({ tracked }) => tracked.target.id);
  return { queue, directory, slots, limits, acquire, passTo, listTargets };
}

function createMemory(requestId: string, overrides: Partial<RunMemory> = {}): RunMemory {
  return {
    ...{ requestId, service: 's', promptTokens: 5_000, tokens: 6_000, isWhole: true },
    ...{ capacityTokens: 20_000, lastResortAtMs: 1_000, ...overrides },
  };
}

// Guards against preemption at engines that are full while their slots are free.
test('a run waits until another one ends and frees its memory', () => {
  const { queue, slots, limits, acquire, listTargets } = create();
  ['r1', 'r2', 'r3', 'r4', 'r5'].forEach((id) => acquire(id, { memory: createMemory(id) }));
  assert.equal([...listTargets()].sort(), ['t1', 't1', 't2', 't2']);
  assert.is(queue.waiting, 1);
  const limit = { requestId: 'r5', reason: 'memory', outcome: 'waits', candidates: 2 };
  assert.equal(limits, [limit]);
  slots[0]?.release();
  assert.equal([slots.length, queue.waiting], [5, 0]);
});

// Guards against runs that miss their objective because they wait for memory.
test('a run that would miss its objective takes the emptiest target, and this is reported', () => {
  const { slots, limits, directory, acquire, passTo } = create();
  ['r1', 'r2', 'r3', 'r4'].forEach((id) => acquire(id, { memory: createMemory(id) }));
  directory.addReplica('t1', createMemory('other'));
  acquire('r5', { memory: createMemory('r5') });
  passTo(990);
  assert.is(slots.length, 4);
  passTo(1_020);
  assert.is(slots[4]?.tracked.target.id, 't2');
  assert.equal(
    limits.map(({ outcome }) => outcome),
    ['waits', 'last-resort'],
  );
});

test('an advised target without room is not used before the last resort', () => {
  const { queue, directory, passTo } = create();
  directory.startRequest('t1', createMemory('a', { tokens: 12_000 }));
  const memory = createMemory('r1');
  assert.is(queue.acquireAt('t1', undefined, { memory }), undefined);
  assert.ok(queue.acquireAtReplica('t1', { memory }));
  passTo(1_000);
  assert.ok(queue.acquireAt('t1', undefined, { memory }));
});

test('requests of unknown size are limited by slots only', () => {
  const { directory, slots, acquire } = create();
  ['t1', 't2'].forEach((id) => directory.startRequest(id, createMemory('a', { tokens: 20_000 })));
  acquire('r1');
  assert.is(slots.length, 1);
});

// Guards against targets that terminate because too many large bodies are in progress there.
test('bodies at a target stay within the bound, except for a single request', () => {
  const { queue, slots, limits, acquire, listTargets } = create(1_000);
  acquire('r1', { bodyBytes: 5_000 });
  acquire('r2', { bodyBytes: 600 });
  assert.is(new Set(listTargets()).size, 2);
  acquire('r3', { bodyBytes: 500 });
  assert.equal(limits, [
    { requestId: 'r3', reason: 'body-bytes', outcome: 'waits', candidates: 2 },
  ]);
  acquire('r4', { bodyBytes: 400 });
  acquire('r5');
  assert.equal([slots.length, queue.waiting], [4, 1]);
  slots[0]?.release();
  slots[0]?.release();
  assert.equal([slots.length, queue.waiting], [5, 0]);
});

test.run();
