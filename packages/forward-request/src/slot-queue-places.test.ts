import { createLocality } from '@limelead/locality';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { PlaceOutcome, ServiceTarget, WaitingCallQueue } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { NO_CALL_QUEUES, type CallPlaces } from './call-places.js';
import { createAdmittedRequest } from './forwarding.fixture.js';
import type { SlotRefusal } from './slot-refusal.js';
import SlotQueue from './slot-queue.js';
import type { Slot, SlotRequest } from './slot-request.js';
import { NO_RATE_LIMITS } from './send-permits.js';
import { NO_BACKPRESSURE } from './target-backpressure.js';
import { OPEN_GATE, type TargetGate } from './target-gate.js';

const clock = { now: () => 0 };
const REQUEST: SlotRequest = {
  requestId: 'r',
  service: 's',
  affinityKey: 'k',
  exclude: new Set(['t1']),
  admitted: { ...createAdmittedRequest(), organisation: 'o', service: 's' },
  rank: 1,
  objectiveAtMs: 300,
  untilMs: 1_000,
};

function toTarget(id: string, port: number): ServiceTarget {
  return { id, service: 's', host: 'h', port, failureDomain: 'd', slots: 1, leaving: false };
}

/** Creates a queue with two targets of one slot each, for a service that is queued. */
function create(gate: Partial<TargetGate> = {}) {
  const directory = new TargetDirectory(clock);
  directory.replaceAll([toTarget('t1', 1), toTarget('t2', 2)]);
  let calls: WaitingCallQueue | undefined;
  const ended: [string, PlaceOutcome][] = [];
  let changes = 0;
  const places: CallPlaces = {
    ...NO_CALL_QUEUES,
    attach: (queue) => void (calls = queue),
    isQueued: () => true,
    canSend: () => false,
    recordSend: (target) => (outcome) => void ended.push([target, outcome]),
    onQueueChanged: () => void (changes += 1),
  };
  const queue = new SlotQueue({
    clock,
    timers: { after: () => () => undefined },
    directory,
    failureDomain: 'd',
    locality: createLocality({ failureDomain: 'd', regionOf: {} }),
    limit: ({ target }) => target.slots,
    gate: { ...OPEN_GATE, ...gate },
    permits: NO_RATE_LIMITS,
    places,
    backpressure: NO_BACKPRESSURE,
    random: { next: () => 0 },
  });
  const slots: (Slot | undefined)[] = [];
  const refusals: (SlotRefusal | undefined)[] = [];
  const acquire = (request: Partial<SlotRequest> = {}) =>
    queue.acquire({ ...REQUEST, ...request }, (slot, refusal) => {
      slots.push(slot);
      refusals.push(refusal);
    });
  if (calls === undefined) {
    throw new Error('not attached');
  }
  return { queue, calls, directory, slots, refusals, ended, acquire, countChanges: () => changes };
}

test('no method acquires a slot of a queued service without a place', () => {
  const { queue, calls, slots, acquire, countChanges } = create();
  acquire();
  calls.serve();
  assert.equal([slots.length, queue.waiting, countChanges()], [0, 1, 1]);
  assert.is(queue.acquireAt('t1'), undefined);
  assert.is(queue.acquireAtReplica('t1'), undefined);
});

test('a waiting call is described with all that its order depends on, and a hedge is left out', () => {
  const { calls, acquire } = create();
  acquire();
  acquire({ isHedge: true });
  const [{ mark, ...call } = {}, ...others] = calls.list('s');
  assert.match(mark?.hash ?? '', /^[0-9a-f]{16}$/);
  assert.equal(
    [call, ...others],
    [
      {
        ...{ id: 1, requestId: 'r', organisation: 'o', rank: 1, untilMs: 1_000 },
        ...{ isRepeat: false, objectiveAtMs: 300, avoid: new Set(['t1']) },
      },
    ],
  );
});

test('a place is for the call and the target that it names, and ends with the call', () => {
  const { calls, slots, ended, acquire } = create();
  acquire();
  acquire();
  assert.ok(calls.serveAt(2, 't2'));
  assert.equal(slots.map((slot) => slot?.tracked.target.id), ['t2']); // prettier-ignore
  assert.equal(calls.list('s').map(({ id }) => id), [1]); // prettier-ignore
  slots[0]?.release('answered');
  assert.equal(ended, [['t2', 'answered']]);
});

test('a place may be one beyond the slots of its target, but not two', () => {
  const { calls, acquire } = create();
  [1, 2, 3].forEach(() => acquire());
  assert.equal(
    [1, 2, 3].map((id) => calls.serveAt(id, 't2')),
    [true, true, false],
  );
  assert.ok(calls.isAvoided('t2'));
});

test('a place is not used by a call that left, at an unknown target or at one that can not be used', () => {
  const { calls, directory, acquire } = create({ isAllowed: ({ id }) => id !== 't1' });
  const leave = acquire();
  leave();
  assert.not(calls.serveAt(1, 't2'));
  acquire();
  assert.not(calls.serveAt(2, 't1'));
  assert.not(calls.serveAt(2, 't9'));
  directory.observe('t2', { kind: 'full', pauseMs: 25 });
  assert.not(calls.serveAt(2, 't2'));
  assert.ok(calls.isAvoided('t2'));
});

test('a suspected target is used only if all are suspected, as without a queue', () => {
  const { calls, directory, acquire } = create();
  acquire();
  directory.observe('t2', { kind: 'lost' });
  assert.not(calls.serveAt(1, 't2'));
  directory.observe('t1', { kind: 'lost' });
  assert.ok(calls.serveAt(1, 't2'));
});

test('a call without a chance is refused with the time to return', () => {
  const { calls, refusals, acquire } = create();
  acquire();
  calls.refuse(1, { retryAfterMs: 700, grantedBy: 'vm' });
  calls.refuse(1, { retryAfterMs: 700, grantedBy: 'vm' });
  assert.equal(refusals, [{ kind: 'no-place', retryAfterMs: 700, grantedBy: 'vm' }]);
});

test.run();
