import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LeasedDuty from './leased-duty.js';

test('a permit without a call does not delay the next hold', () => {
  const { clock, jump } = createManualTime(0);
  const waits: number[] = [];
  const duty = new LeasedDuty({
    holder: 'a',
    clock,
    timeOfDay: clock,
    reacquireDelayMs: 3_000,
    marginMs: 0,
    onAcquired: (_token, mayActInMs) => void waits.push(mayActInMs),
    onLost: () => undefined,
    onClockJump: () => undefined,
  });
  jump(3_000);
  duty.onLeaseAnswer({ kind: 'ours', token: 1, sentAtMs: 3_000, ttlMs: 10_000 });
  assert.is(duty.permit(1_000)?.token, 1);
  jump(2_000);
  assert.is(duty.permit(0)?.token, 1);
  duty.giveUp();
  duty.onLeaseAnswer({ kind: 'ours', token: 2, sentAtMs: 5_000, ttlMs: 10_000 });
  // The permitted call has arrived by 4 s.
  assert.equal(waits, [0, 2_000]);
});

test.run();
