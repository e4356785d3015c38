import { createLocality } from '@limelead/locality';
import type { HeldRequest } from '@limelead/track-backpressure';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { ServiceTarget, WaitingRequestQueue } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { SlotRefusal } from './slot-refusal.js';
import SlotQueue from './slot-queue.js';
import type { Slot, SlotRequest } from './slot-request.js';
import { NO_RATE_LIMITS, type SendPermits } from './send-permits.js';
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

/** Creates a queue with one target of version v1 and one of v2; v2 is preferred. */
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
    gate: { ...OPEN_GATE, recordSend: ({ id }) => sent.push(id), ...gate },
    permits: { ...NO_RATE_LIMITS, ...permits },
    backpressure: { ...NO_BACKPRESSURE, hasCooldowns: true, ...backpressure },
    random: { next: () => 0 },
  });
  const slots: (Slot | undefined)[] = [];
  const refusals: (SlotRefusal | undefined)[] = [];
  const acquire = (exclude: string[] = []): void => {
    queue.acquire({ ...REQUEST, exclude: new Set(exclude) }, (slot, refusal) => {
      slots.push(slot);
      refusals.push(refusal);
    });
  };
  return { queue, directory, sent, slots, refusals, acquire };
}

test('groups are tried in order, and targets outside of them are not used', () => {
  const { queue, sent, acquire } = create({
    groupByPreference: (_, targets) => [targets.filter(({ target }) => target.version === 'v2')],
  });
  acquire();
  acquire();
  assert.equal(sent, ['v2-0']);
  assert.is(queue.waiting, 1);
});

test('the next group is used when the first has no free slot', () => {
  const of =
    (version: string): TargetGate['groupByPreference'] =>
    (_, targets) => [targets.filter(({ target }) => target.version === version)];
  const { sent, acquire } = create({
    groupByPreference: (...facts) => [...of('v2')(...facts), ...of('v1')(...facts)],
  });
  acquire();
  acquire();
  assert.equal(sent, ['v2-0', 'v1-0']);
});

test('the gate is informed of retries', () => {
  const retries: boolean[] = [];
  const { acquire } = create({
    groupByPreference: (_, targets, isRetry) => {
      retries.push(isRetry);
      return [targets];
    },
  });
  acquire();
  acquire(['v1-0']);
  assert.equal(retries, [false, true]);
});

test('no method acquires a slot at a target without a permit', () => {
  const permits = { hasLimits: true, canSend: (id: string) => id === 'v1-0' };
  const { queue, sent, acquire } = create({}, permits);
  assert.is(queue.acquireAt('v2-0'), undefined);
  assert.is(queue.acquireAtReplica('v2-0'), undefined);
  acquire();
  acquire();
  assert.equal(sent, ['v1-0']);
  assert.is(queue.waiting, 1);
});

test('a request waits for a permit rather than return to the target that failed it', () => {
  const permits = { hasLimits: true, canSend: (id: string) => id === 'v1-0' };
  const { queue, sent, acquire } = create({}, permits);
  acquire(['v1-0']);
  assert.equal(sent, []);
  assert.is(queue.waiting, 1);
});

test('a specific target is used only if the gate allows it', () => {
  const { queue, sent } = create({ isAllowed: ({ version }) => version === 'v1' });
  assert.is(queue.acquireAt('v2-0'), undefined);
  assert.is(queue.acquireAt('v1-0')?.tracked.target.id, 'v1-0');
  assert.equal(sent, ['v1-0']);
});

test('no method acquires a slot at a target in a cooldown', () => {
  const cooling = new Map([['v1-0', 5_000]]);
  const { queue, sent, acquire } = create({}, {}, { cooldownUntilMs: (id) => cooling.get(id) });
  acquire();
  assert.equal(sent, ['v2-0']);
  assert.is(queue.acquireAt('v1-0'), undefined);
  assert.is(queue.acquireAtReplica('v1-0'), undefined);
  cooling.clear();
  assert.ok(queue.acquireAtReplica('v1-0'));
});

test('a stream that a version began gets no slot at another version', () => {
  const { queue, sent } = create({});
  const need = { softwareVersion: 'v1' };
  assert.is(queue.acquireAt('v2-0', undefined, need), undefined);
  assert.is(queue.acquireAtReplica('v2-0', need), undefined);
  const slots: (Slot | undefined)[] = [];
  for (const requestId of ['a', 'b']) {
    queue.acquire({ ...REQUEST, ...need, requestId }, (slot) => slots.push(slot));
  }
  assert.equal(sent, ['v1-0']);
  assert.is(queue.waiting, 1);
  slots[0]?.release();
  assert.equal(sent, ['v1-0', 'v1-0']);
});

test('a stream whose version has no target left is refused, also while it waits', () => {
  const { queue, directory } = create({});
  const refusals: (SlotRefusal | undefined)[] = [];
  const acquire = (softwareVersion: string): void =>
    void queue.acquire({ ...REQUEST, softwareVersion }, (_, refusal) => refusals.push(refusal));
  acquire('v0');
  assert.equal(refusals, [{ kind: 'no-version', retryAfterMs: 1_000 }]);
  assert.ok(queue.acquireAt('v1-0'));
  acquire('v1');
  assert.is(queue.waiting, 1);
  directory.apply([{ kind: 'gone', id: 'v1-0' }]);
  assert.is(refusals[1]?.kind, 'no-version');
  assert.is(queue.waiting, 0);
});

test('a stream waits while its service has no target at all', () => {
  const { queue, directory, sent } = create({});
  directory.replaceAll([]);
  const refusals: (SlotRefusal | undefined)[] = [];
  queue.acquire({ ...REQUEST, softwareVersion: 'v1' }, (_, refusal) => refusals.push(refusal));
  assert.is(queue.waiting, 1);
  directory.replaceAll([toTarget('v1', 0)]);
  assert.equal(sent, ['v1-0']);
  assert.equal(refusals, [undefined]);
});

test('if all targets are in a cooldown, a request waits for the first end or is refused at once', () => {
  const held: string[] = [];
  let endMs = 900;
  const backpressure = {
    cooldownUntilMs: () => endMs,
    onHeld: ({ requestId, waitMs }: HeldRequest) => void held.push(`${requestId} ${waitMs}`),
  };
  const { queue, slots, refusals, acquire } = create({}, {}, backpressure);
  acquire();
  assert.equal([slots.length, queue.waiting, held], [0, 1, ['r 900']]);
  endMs = 1_000;
  acquire();
  assert.equal(refusals, [{ kind: 'cooling', retryAfterMs: 1_000, targets: ['v1-0', 'v2-0'] }]);
});

test('a request is refused if too little time is left after the first cooldown', () => {
  const { queue } = create({}, {}, { cooldownUntilMs: () => 960 });
  const refused: boolean[] = [];
  const receive = (_: unknown, refusal?: SlotRefusal): void =>
    void refused.push(refusal !== undefined);
  queue.acquire({ ...REQUEST, minServiceMs: 50 }, receive);
  queue.acquire({ ...REQUEST, minServiceMs: 30 }, receive);
  assert.equal([refused, queue.waiting], [[true], 1]);
});

test('a request that waits because there are no targets is not reported as held for a cooldown', () => {
  const held: string[] = [];
  const onHeld = ({ requestId }: HeldRequest): void => void held.push(requestId);
  const { queue } = create({}, {}, { cooldownUntilMs: () => 900, onHeld });
  queue.acquire({ ...REQUEST, service: 'other' }, () => undefined);
  assert.equal([queue.waiting, held], [1, []]);
});

test('a target in a cooldown is reported as avoided to the permits', () => {
  let waiting: WaitingRequestQueue | undefined;
  const cooling = new Map([['v1-0', 5_000]]);
  const attach = (attached: WaitingRequestQueue): void => void (waiting = attached);
  create({}, { attach }, { cooldownUntilMs: (id) => cooling.get(id) });
  assert.equal([waiting?.isAvoided('v1-0'), waiting?.isAvoided('v2-0')], [true, false]);
});

test('slow start after a cooldown limits the slots', () => {
  const { queue } = create({}, {}, { limitSlots: () => 0 });
  assert.is(queue.acquireAt('v1-0'), undefined);
});

test.run();
