import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LeasedDuty from './leased-duty.js';

const TTL_MS = 3_000;
const MARGIN_MS = 200;

/** A duty that was acquired at 0, with two manual clocks. */
class TestClocks {
  steadyTimeMs = 0;
  timeOfDayMs = 1_000_000;
  readonly jumps: number[] = [];
  readonly lost: string[] = [];
  readonly duty = new LeasedDuty({
    holder: 'vm-1',
    clock: { now: () => this.steadyTimeMs },
    timeOfDay: { now: () => this.timeOfDayMs },
    reacquireDelayMs: 0,
    marginMs: MARGIN_MS,
    onAcquired: () => undefined,
    onLost: (_, loss) => this.lost.push(loss),
    onClockJump: (jumpMs) => this.jumps.push(jumpMs),
  });

  constructor() {
    this.renew(0);
  }

  advance(ms: number): void {
    this.steadyTimeMs += ms;
    this.timeOfDayMs += ms;
  }

  /** Advances only the time of day, as when the VM is suspended or the time is set. */
  jump(ms: number): void {
    this.timeOfDayMs += ms;
  }

  renew(sentAtMs = this.steadyTimeMs): void {
    this.duty.onLeaseAnswer({ kind: 'ours', token: 4, sentAtMs, ttlMs: TTL_MS });
  }

  get isPermitted(): boolean {
    return this.duty.permit(100) !== undefined;
  }
}

test('a VM suspended for longer than its lease makes no calls before the store confirms the lease', () => {
  const clocks = new TestClocks();
  clocks.advance(100);
  assert.ok(clocks.isPermitted);
  clocks.jump(TTL_MS);
  assert.not(clocks.isPermitted);
  clocks.advance(10);
  assert.not(clocks.isPermitted);
  clocks.renew();
  assert.ok(clocks.isPermitted);
  assert.equal(clocks.jumps, [TTL_MS]);
});

test('an answer to a call from before the suspension confirms nothing', () => {
  const clocks = new TestClocks();
  const sentAtMs = clocks.steadyTimeMs;
  clocks.jump(TTL_MS);
  clocks.renew(sentAtMs);
  assert.not(clocks.isPermitted);
});

test('a short suspension shortens the lease', () => {
  const clocks = new TestClocks();
  clocks.advance(500);
  clocks.jump(1_000);
  assert.ok(clocks.isPermitted);
  clocks.advance(1_300);
  assert.not(clocks.isPermitted);
});

test('suspensions add up until the store confirms the lease', () => {
  const clocks = new TestClocks();
  for (let time = 0; time < 3; time += 1) {
    clocks.jump(1_000);
    clocks.advance(10);
    clocks.duty.permit(0);
  }
  assert.not(clocks.isPermitted);
  clocks.renew();
  assert.ok(clocks.isPermitted);
});

test('setting the time of day ahead or back does not end the hold', () => {
  for (const stepMs of [3_600_000, -3_600_000]) {
    const clocks = new TestClocks();
    clocks.jump(stepMs);
    clocks.advance(100);
    clocks.duty.checkExpiry();
    clocks.advance(10);
    clocks.renew();
    assert.ok(clocks.isPermitted);
    assert.equal(clocks.lost, []);
  }
});

test('small clock corrections do not add up', () => {
  const clocks = new TestClocks();
  for (let step = 0; step < 20; step += 1) {
    clocks.advance(100);
    clocks.jump(1);
    clocks.renew();
  }
  assert.ok(clocks.isPermitted);
  assert.equal(clocks.jumps, []);
});

test.run();
