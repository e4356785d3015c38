import { test } from 'uvu';
import * as assert from 'uvu/assert';
import fc from 'fast-check';
import CallDispatcher, { type DispatchTarget } from './call-dispatcher.js';
import { compareInTimeFirst, type QueuedCall } from './order-calls.js';
import { EQUAL_SHARES, type ShareOrder } from './share-order.js';

const NOW = 1_000;

function toCall(id: number, call: Partial<QueuedCall> = {}): QueuedCall {
  return {
    ...{ vm: 'a', id, rank: 1, isRepeat: false, avoid: [] },
    objectiveAtMs: NOW + 300,
    untilMs: NOW + 4_000,
    ...call,
  };
}

function toTarget(id: string, free: number, target: Partial<DispatchTarget> = {}): DispatchTarget {
  return { id, free, limit: 6, expectedMs: 60, meanMs: 60, ...target };
}

function create(calls: QueuedCall[], shares: ShareOrder = EQUAL_SHARES): CallDispatcher {
  const random = { next: () => 0.5 };
  const dispatcher = new CallDispatcher({ random, shares, compare: compareInTimeFirst });
  for (const vm of new Set(calls.map((call) => call.vm))) {
    const own = calls.filter((call) => call.vm === vm);
    dispatcher.setWaiting(vm, own, true, NOW);
  }
  return dispatcher;
}

/** Ids in the order in which single places are given. */
function listOrder(dispatcher: CallDispatcher, target = toTarget('t', 1)): number[] {
  const ids: number[] = [];
  for (;;) {
    const [grant] = dispatcher.grant([target], NOW);
    if (grant === undefined) {
      return ids;
    }
    ids.push(grant.want);
  }
}

test('calls that miss their objective anyway do not make others miss theirs', () => {
  const late = toCall(1, { objectiveAtMs: NOW + 50, rank: 0 });
  const laterLate = toCall(2, { objectiveAtMs: NOW - 10, untilMs: NOW + 500 });
  const inTime = toCall(3, { objectiveAtMs: NOW + 70, rank: 2 });
  assert.equal(listOrder(create([late, laterLate, inTime])), [3, 2, 1]);
});

// Guards against a call that waits for a target which its VM can't use while other places are free.
test('a call does not wait for a fast target that it may not use', () => {
  const fast = toTarget('fast', 1);
  const slow = toTarget('slow', 1, { expectedMs: 350, meanMs: 150 });
  const grantTo = (call: QueuedCall, avoided: string[] = []): string[] => {
    const dispatcher = create([call]);
    dispatcher.setAvoided('a', avoided);
    return dispatcher.grant([{ ...fast, free: 0 }, slow], NOW).map(({ target }) => target);
  };
  assert.equal(grantTo(toCall(1)), []);
  assert.equal(grantTo(toCall(1), ['fast']), ['slow']);
  assert.equal(grantTo(toCall(1, { avoid: ['fast'] })), ['slow']);
});

test('calls in time are ordered by rank, repeats last, fair share and objective', () => {
  const shares: ShareOrder = {
    excessOf: (organisation) => (organisation === 'large' ? 4 : 0),
    recordArrival: () => undefined,
  };
  const calls = [
    toCall(1, { objectiveAtMs: NOW + 100, organisation: 'large' }),
    toCall(2, { objectiveAtMs: NOW + 100, isRepeat: true }),
    toCall(3, { objectiveAtMs: NOW + 200 }),
    toCall(4, { objectiveAtMs: NOW + 150 }),
    toCall(5, { objectiveAtMs: NOW + 300, rank: 0 }),
  ];
  assert.equal(listOrder(create(calls, shares)), [5, 4, 3, 1, 2]);
});

test('each call is recorded as an arrival once, although it is named again', () => {
  let arrivals = 0;
  const shares = { ...EQUAL_SHARES, recordArrival: () => (arrivals += 1) };
  const dispatcher = create([toCall(1)], shares);
  dispatcher.setWaiting('a', [toCall(1), toCall(2)], true, NOW);
  assert.is(arrivals, 2);
  assert.is(dispatcher.length, 2);
});

test('an equal call of another VM is a repeat, but the same call named again is none', () => {
  const mark = (number: number) => ({ hash: 'h', number });
  const first = toCall(1, { mark: mark(1), objectiveAtMs: NOW + 300 });
  const dispatcher = create([first]);
  dispatcher.setWaiting('b', [toCall(2, { vm: 'b', mark: mark(1) })], true, NOW);
  dispatcher.setWaiting('b', [toCall(3, { vm: 'b', mark: { hash: 'g', number: 2 } })], false, NOW);
  dispatcher.setWaiting('a', [first], true, NOW);
  assert.equal(listOrder(dispatcher), [3, 1, 2]);
});

for (const objectiveAtMs of [NOW, NOW + 300]) {
  const name = objectiveAtMs === NOW ? 'late' : 'in time';
  test(`of calls that are ${name}, organisations above their shares are refused first`, () => {
    const shares: ShareOrder = {
      ...EQUAL_SHARES,
      excessOf: (organisation) => (organisation === 'large' ? 4 : 0),
    };
    const refused: (string | undefined)[] = [];
    const recordRefusal = (organisation?: string): void => void refused.push(organisation);
    const calls = Array.from({ length: 100 }, (_, id) =>
      toCall(id, {
        organisation: id % 2 === 0 ? 'large' : 'small',
        ...{ objectiveAtMs, untilMs: NOW + 500 },
      }),
    );
    const dispatcher = create(calls, { ...shares, recordRefusal });
    // Six slots of 60 ms serve 45 of the calls before their deadline.
    assert.is(dispatcher.refuseHopeless([toTarget('t', 0)], NOW).length, 55);
    assert.is(refused.filter((organisation) => organisation === 'small').length, 5);
  });
}

test('a place is given to an organisation above its share if no other call waits', () => {
  const shares: ShareOrder = { ...EQUAL_SHARES, excessOf: () => 100 };
  const dispatcher = create([toCall(1, { organisation: 'large', isRepeat: true })], shares);
  assert.is(dispatcher.grant([toTarget('t', 1)], NOW).length, 1);
});

test('a call that can be in time only at a fast target leaves the slow one to late calls', () => {
  const dispatcher = create([toCall(1, { objectiveAtMs: NOW + 100 })]);
  const slow = toTarget('slow', 6, { expectedMs: 150, meanMs: 150 });
  assert.equal(dispatcher.grant([slow, toTarget('fast', 0)], NOW), []);
  dispatcher.setWaiting('a', [toCall(2, { objectiveAtMs: NOW })], false, NOW);
  assert.equal(dispatcher.grant([slow, toTarget('fast', 0)], NOW), [
    { vm: 'a', want: 2, target: 'slow' },
  ]);
  assert.equal(dispatcher.grant([slow, toTarget('fast', 1)], NOW), [
    { vm: 'a', want: 1, target: 'fast' },
  ]);
});

test('a target that failed a call gets it again only if there is no other', () => {
  const dispatcher = create([toCall(1, { avoid: ['t'] })]);
  assert.equal(dispatcher.grant([toTarget('t', 1), toTarget('u', 0)], NOW), []);
  assert.is(dispatcher.grant([toTarget('t', 1)], NOW).length, 1);
});

test('a VM gets no place at a target that it can not use', () => {
  const dispatcher = create([toCall(1), toCall(2, { vm: 'b' })]);
  dispatcher.setAvoided('a', ['t']);
  assert.equal(dispatcher.grant([toTarget('t', 2)], NOW), [{ vm: 'b', want: 2, target: 't' }]);
  dispatcher.setAvoided('a', []);
  assert.is(dispatcher.grant([toTarget('t', 2)], NOW).length, 1);
});

test('only calls that can not be answered before their deadline are refused, spread over time', () => {
  // Six slots of 60 ms serve a call each 10 ms.
  const calls = Array.from({ length: 100 }, (_, id) => toCall(id, { untilMs: NOW + 500 }));
  const dispatcher = create(calls);
  const refusals = dispatcher.refuseHopeless([toTarget('t', 0)], NOW);
  assert.is(refusals.length, 55);
  assert.is(dispatcher.length, 45);
  assert.ok(refusals.every(({ retryAfterMs }) => retryAfterMs > 450 && retryAfterMs < 1_450));
  assert.equal(dispatcher.refuseHopeless([toTarget('t', 0)], NOW), []);
});

test('no call is refused while no target is up, since its VM bounds its wait', () => {
  const dispatcher = create([toCall(1, { untilMs: NOW + 1 })]);
  assert.equal(dispatcher.refuseHopeless([toTarget('t', 0, { limit: 0 })], NOW), []);
});

test('no target gets more calls than it has free places, and no call two places', () => {
  const call = fc.record({
    objectiveAtMs: fc.integer({ min: NOW - 100, max: NOW + 400 }),
    untilMs: fc.integer({ min: NOW - 10, max: NOW + 4_000 }),
    rank: fc.integer({ min: 0, max: 2 }),
    isRepeat: fc.boolean(),
  });
  const target = fc.record({
    free: fc.integer({ min: 0, max: 7 }),
    expectedMs: fc.integer({ min: 50, max: 200 }),
  });
  fc.assert(
    fc.property(fc.array(call), fc.array(target, { maxLength: 4 }), (calls, free) => {
      const targets = free.map((one, index) => toTarget(`t${index}`, one.free, one));
      const dispatcher = create(calls.map((one, id) => toCall(id, one)));
      const grants = dispatcher.grant(targets, NOW);
      assert.is(new Set(grants.map(({ want }) => want)).size, grants.length);
      assert.is(dispatcher.length, calls.length - grants.length);
      targets.forEach(({ id, free: places }) =>
        assert.ok(grants.filter((grant) => grant.target === id).length <= places),
      );
    }),
    { seed: 1 },
  );
});

test.run();
