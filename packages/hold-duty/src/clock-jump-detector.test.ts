import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LeasedDuty from './leased-duty.js';

const TTL_MS = 3_000;
const MARGIN_MS = 200;

/** A duty that was taken at 0, with two clocks that are moved by hand. */
class World {
  steadyMs = 0;
  dayMs = 1_000_000;
  readonly jumps: number[] = [];
  readonly lost: string[] = [];
  readonly duty = new LeasedDuty({
    holder: 'vm-1',
    clock: { now: () => this.steadyMs },
    timeOfDay: { now: () => this.dayMs },
    reacquireDelayMs: 0,
    marginMs: MARGIN_MS,
    onAcquired: () => undefined,
    onLost: (_, loss) => this.lost.push(loss),
    onClockJump: (jumpMs) => this.jumps.push(jumpMs),
  });

  constructor() {
    this.renew(0);
  }

  pass(ms: number): void {
    this.steadyMs += ms;
    this.dayMs += ms;
  }

  /** The steady clock stands still meanwhile; or somebody sets the time of day. */
  lose(ms: number): void {
    this.dayMs += ms;
  }

  renew(sentAtMs = this.steadyMs): void {
    this.duty.onLeaseAnswer({ kind: 'ours', token: 4, sentAtMs, ttlMs: TTL_MS });
  }

  get mayAct(): boolean {
    return this.duty.permit(100) !== undefined;
  }
}

test('a VM that was suspended past its lease does nothing before the store confirmed it', () => {
  const world = new World();
  world.pass(100);
  assert.ok(world.mayAct);
  world.lose(TTL_MS);
  assert.not(world.mayAct);
  world.pass(10);
  assert.not(world.mayAct);
  world.renew();
  assert.ok(world.mayAct);
  assert.equal(world.jumps, [TTL_MS]);
});

test('an answer to what was sent before the suspension confirms nothing', () => {
  const world = new World();
  const sentAtMs = world.steadyMs;
  world.lose(TTL_MS);
  world.renew(sentAtMs);
  assert.not(world.mayAct);
});

test('a short suspension leaves what is left of the lease', () => {
  const world = new World();
  world.pass(500);
  world.lose(1_000);
  assert.ok(world.mayAct);
  world.pass(1_300);
  assert.not(world.mayAct);
});

test('several suspensions add up until the store confirmed the lease', () => {
  const world = new World();
  for (let time = 0; time < 3; time += 1) {
    world.lose(1_000);
    world.pass(10);
    world.duty.permit(0);
  }
  assert.not(world.mayAct);
  world.renew();
  assert.ok(world.mayAct);
});

test('a time of day that is set costs no duty, ahead or back', () => {
  for (const stepMs of [3_600_000, -3_600_000]) {
    const world = new World();
    world.lose(stepMs);
    world.pass(100);
    world.duty.checkExpiry();
    world.pass(10);
    world.renew();
    assert.ok(world.mayAct);
    assert.equal(world.lost, []);
  }
});

test('small corrections add up to nothing', () => {
  const world = new World();
  for (let step = 0; step < 20; step += 1) {
    world.pass(100);
    world.lose(1);
    world.renew();
  }
  assert.ok(world.mayAct);
  assert.equal(world.jumps, []);
});

test.run();
