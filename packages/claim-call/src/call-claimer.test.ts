import {
  createInProcessStore,
  createKeyValueState,
  createManualTime,
  type StoreFaults,
} from '@limelead/stand-ins';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CLAIM_RETENTION_MS, planClaims } from './bucket.js';
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

test('exactly one of several concurrent claims of a call is granted', async () => {
  const { time, claim } = createSystem(7);
  const claims = Array.from({ length: 7 }, (_, vm) => claim(vm, 'booking-1'));
  await time.advance(1_000);
  const outcomes = await Promise.all(claims);
  assert.is(outcomes.filter(({ kind }) => kind === 'granted').length, 1);
  assert.is(outcomes.filter(({ kind }) => kind === 'held-by-other').length, 6);
});

test('a claim whose reply was lost is read back and granted to its holder only', async () => {
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

test('during a store outage a claim soon ends as unavailable', async () => {
  const { time, claim } = createSystem(1, { isUnavailable: true, decideSwap: () => 'ok' });
  const claimed = claim(0, 'booking-1');
  await time.advance(5_000);
  assert.is((await claimed).kind, 'unavailable');
});

test('a claim is not granted to a VM that was paused past the latest start time', async () => {
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

test('a claim is retained past its latest start time to allow for clock skew', async () => {
  const { time, claim } = createSystem(2);
  const first = claim(0, 'booking-1');
  await time.advance(100);
  assert.is((await first).kind, 'granted');
  const bucket = planClaims(
    { claims: [{ call: 'c', holder: 'vm-0', notAfterMs: 1_000 }] },
    [{ call: 'c', holder: 'vm-1', notAfterMs: 1_000 }],
    1_000 + CLAIM_RETENTION_MS,
  );
  assert.equal(bucket.holders, ['vm-0']);
});

test('concurrent claims of one bucket share a write', async () => {
  const { time, claim, state } = createSystem(1);
  const claims = Array.from({ length: 200 }, (_, index) => claim(0, `booking-${index}`));
  await time.advance(1_000);
  const outcomes = await Promise.all(claims);
  assert.is(outcomes.filter(({ kind }) => kind === 'granted').length, 200);
  const writes = Array.from(
    { length: 16 },
    (_, bucket) => state.get(`limelead/claims/${bucket}`).version,
  );
  assert.is(Math.max(...writes), 16, 'sixteen buckets take one write each');
});

test('random lost replies and failed writes never grant a call to two VMs', async () => {
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
      const granted = new Map<number, number>();
      for (const { vm, call, outcome } of await Promise.all(claims)) {
        if (outcome.kind === 'granted') {
          assert.is(granted.get(call) ?? vm, vm, 'the call was granted to a second VM');
          granted.set(call, vm);
        }
      }
    }),
    { seed: 4, numRuns: 100 },
  );
});

test.run();
