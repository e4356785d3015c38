import {
  createInProcessStore,
  createKeyValueState,
  createManualTime,
  type StoreFaults,
} from '@limelead/stand-ins';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CLAIM_MARGIN_MS, planClaims } from './bucket.js';
import { createCallClaimer, type ClaimOutcome } from './index.js';

function createSystem(vms: number, faults?: StoreFaults) {
  const time = createManualTime();
  const state = createKeyValueState(time.clock);
  const store = createInProcessStore(state, faults);
  const claimers = Array.from({ length: vms }, (_, index) =>
    createCallClaimer({
      store,
      clock: time.clock,
      timers: time.timers,
      random: { next: () => 0.5 },
      incarnation: `vm-${index}`,
    }),
  );
  const notAfterMs = time.clock.now() + 60_000;
  const claim = (vm: number, requestId: string): Promise<ClaimOutcome> => {
    const claimer = claimers[vm];
    assert.ok(claimer);
    return claimer.claim({ organisation: 'haneul', requestId, notAfterMs });
  };
  return { time, state, claim, notAfterMs };
}

test('of all VMs that claim a call at the same time, one is permitted', async () => {
  const { time, claim } = createSystem(7);
  const claims = Array.from({ length: 7 }, (_, vm) => claim(vm, 'booking-1'));
  await time.advance(1_000);
  const outcomes = await Promise.all(claims);
  assert.is(outcomes.filter(({ kind }) => kind === 'granted').length, 1);
  assert.is(outcomes.filter(({ kind }) => kind === 'held-by-other').length, 6);
});

test('a claim whose reply was lost is found again, and still only one is permitted', async () => {
  let losses = 1;
  const faults: StoreFaults = {
    isUnavailable: false,
    decideSwap: () => (losses-- > 0 ? 'reply-lost' : 'ok'),
  };
  const { time, claim } = createSystem(2, faults);
  const first = claim(0, 'booking-1');
  await time.advance(1_000);
  assert.is((await first).kind, 'granted');
  const second = claim(1, 'booking-1');
  await time.advance(1_000);
  assert.equal(await second, { kind: 'held-by-other', holder: 'vm-0' });
});

test('while the service is out nothing is permitted, and the caller is told soon', async () => {
  const { time, claim } = createSystem(1, { isUnavailable: true, decideSwap: () => 'ok' });
  const claimed = claim(0, 'booking-1');
  await time.advance(5_000);
  assert.is((await claimed).kind, 'unavailable');
});

test('a VM that is paused past the last moment is not permitted when it wakes', async () => {
  let wasPaused = false;
  const faults: StoreFaults = {
    isUnavailable: false,
    decideSwap: () => {
      if (!wasPaused) {
        time.jump(60_001);
        wasPaused = true;
      }
      return 'ok';
    },
  };
  const { time, claim } = createSystem(1, faults);
  const claimed = claim(0, 'booking-1');
  await time.advance(100);
  assert.is((await claimed).kind, 'expired');
});

test('a claim is kept beyond its last moment, for clocks that differ', async () => {
  const { time, claim } = createSystem(2);
  const first = claim(0, 'booking-1');
  await time.advance(100);
  assert.is((await first).kind, 'granted');
  const bucket = planClaims(
    { claims: [{ call: 'c', holder: 'vm-0', notAfterMs: 1_000 }] },
    [{ call: 'c', holder: 'vm-1', notAfterMs: 1_000 }],
    1_000 + CLAIM_MARGIN_MS,
  );
  assert.equal(bucket.holders, ['vm-0']);
});

test('claims that come together share a write', async () => {
  const { time, claim, state } = createSystem(1);
  const claims = Array.from({ length: 200 }, (_, index) => claim(0, `booking-${index}`));
  await time.advance(1_000);
  const outcomes = await Promise.all(claims);
  assert.is(outcomes.filter(({ kind }) => kind === 'granted').length, 200);
  const writes = Array.from(
    { length: 16 },
    (_, bucket) => state.get(`limelead/claims/${bucket}`).version,
  );
  assert.is(Math.max(...writes), 16, 'sixteen buckets took sixteen writes');
});

test('differential: against a plain map, under lost replies and outages', async () => {
  const step = fc.record({
    vm: fc.nat(2),
    call: fc.nat(5),
    fate: fc.constantFrom('ok' as const, 'refused' as const, 'reply-lost' as const),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
      const fates = steps.map(({ fate }) => fate);
      const faults: StoreFaults = { isUnavailable: false, decideSwap: () => fates.pop() ?? 'ok' };
      const { time, claim } = createSystem(3, faults);
      const claims = steps.map(async ({ vm, call }) => ({
        vm,
        call,
        outcome: await claim(vm, `booking-${call}`),
      }));
      await time.advance(10_000);
      const permitted = new Map<number, number>();
      for (const { vm, call, outcome } of await Promise.all(claims)) {
        if (outcome.kind === 'granted') {
          assert.is(permitted.get(call) ?? vm, vm, 'a second VM was permitted');
          permitted.set(call, vm);
        }
      }
    }),
    { seed: 4, numRuns: 100 },
  );
});

test.run();
