import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import HeldDuty from './held-duty.js';

test('a look sends nothing, and does not put off the next hold', () => {
  const { clock, jump } = createManualTime(0);
  const waits: number[] = [];
  const duty = new HeldDuty({
    holder: 'a',
    clock,
    timeOfDay: clock,
    quietMs: 3_000,
    marginMs: 0,
    onTaken: (_token, mayActInMs) => void waits.push(mayActInMs),
    onLost: () => undefined,
    onLostTime: () => undefined,
  });
  jump(3_000);
  duty.noteAnswer({ kind: 'ours', token: 1, sentAtMs: 3_000, ttlMs: 10_000 });
  assert.is(duty.permit(1_000)?.token, 1);
  jump(2_000);
  assert.is(duty.permit(0)?.token, 1);
  duty.giveUp();
  duty.noteAnswer({ kind: 'ours', token: 2, sentAtMs: 5_000, ttlMs: 10_000 });
  // The call has arrived by 4 s.
  assert.equal(waits, [0, 2_000]);
});

test.run();
