import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { type Outcome } from './fleet.fixture.js';

const DEADLY = '/deadly';
const deadly = (): Outcome => ({ kind: 'crashes-target', afterMs: 60 });

/** Sends the request at a random VM each time. */
function sendRepeatedly(fleet: Fleet, everyMs: number, untilMs: number, maxRuns?: number): void {
  for (let atMs = 0; atMs < untilMs; atMs += everyMs) {
    fleet.schedule(atMs, () => void fleet.send(fleet.draw(fleet.size), DEADLY, deadly, maxRuns));
  }
}

/** Number of runs that start later than that time after the third crash. */
function countLateRuns(fleet: Fleet, afterMs: number): number {
  const third = fleet.crashes[2]?.atMs ?? Infinity;
  return fleet.arrivals.filter(({ path, atMs }) => path === DEADLY && atMs > third + afterMs)
    .length;
}

test('a request that is repeated at random VMs crashes few targets', async () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const fleet = new Fleet(6, seed);
    sendRepeatedly(fleet, 40, 4_000);
    await fleet.runUntil(5_000);
    assert.ok(fleet.crashes.length <= 6, `${fleet.crashes.length} crashes with seed ${seed}`);
    assert.is(countLateRuns(fleet, 1_000), 0);
  }
});

test('crashes that different VMs saw count together', async () => {
  const fleet = new Fleet(6, 7);
  sendRepeatedly(fleet, 150, 4_000, 1);
  await fleet.runUntil(5_000);
  assert.is(fleet.crashes.length, 3);
});

test('in a fleet of 300 VMs no run starts later than a second after the third crash', async () => {
  const fleet = new Fleet(300, 3);
  for (let vm = 0; vm < fleet.size; vm += 1) {
    fleet.schedule(fleet.draw(20), () => void fleet.send(vm, DEADLY, deadly));
  }
  sendRepeatedly(fleet, 100, 3_000);
  await fleet.runUntil(3_500);
  assert.is(countLateRuns(fleet, 1_000), 0);
  assert.ok(fleet.quarantined.length > 0);
});

test('a frequent request is still answered while a third of the targets fails at once', async () => {
  const fleet = new Fleet(20, 5);
  const outcomes: string[] = [];
  const failAtMs = 500;
  // Runs on a third of the targets break at the same moment, whatever the request is.
  const decide = (): Outcome =>
    fleet.draw(3) === 0 && fleet.now < failAtMs && fleet.now > failAtMs - 200
      ? { kind: 'crashes-target', afterMs: failAtMs - fleet.now }
      : { kind: 'answers', afterMs: 30 };
  for (let atMs = 0; atMs < 3_000; atMs += 10) {
    fleet.schedule(atMs, () => {
      void fleet.send(fleet.draw(fleet.size), '/hot', decide).then((one) => outcomes.push(one));
    });
  }
  await fleet.runUntil(4_000);
  assert.ok(fleet.crashes.length > 3, `${fleet.crashes.length} targets ended`);
  assert.equal([...new Set(outcomes)], ['answered']);
  assert.is(outcomes.length, 300);
});

test('targets that reset connections and keep running do not quarantine a request', async () => {
  const fleet = new Fleet(3, 9);
  const answered = fleet.send(0, '/reset', () =>
    fleet.now < 400 ? { kind: 'resets', afterMs: 20 } : { kind: 'answers', afterMs: 20 },
  );
  await fleet.runUntil(2_000);
  assert.is(await answered, 'answered');
  assert.equal(fleet.quarantined, []);
});

test('a request that crashes only one of two software versions is quarantined', async () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const fleet = new Fleet(6, seed);
    const decide = (): Outcome =>
      fleet.draw(2) === 0
        ? { kind: 'crashes-target', afterMs: 60, version: 'v1' }
        : { kind: 'answers', afterMs: 30, version: 'v2' };
    for (let atMs = 0; atMs < 8_000; atMs += 200) {
      fleet.schedule(atMs, () => void fleet.send(fleet.draw(fleet.size), DEADLY, decide));
    }
    await fleet.runUntil(9_000);
    assert.ok(fleet.crashes.length >= 3, 'too few runs to quarantine the request');
    assert.ok(fleet.crashes.length <= 6, `${fleet.crashes.length} crashes with seed ${seed}`);
  }
});

test('a request that was answered before is not held after three crashes in succession', async () => {
  const fleet = new Fleet(3, 4);
  const answers = fleet.send(0, '/hot', () => ({ kind: 'answers', afterMs: 5 }));
  await fleet.runUntil(10);
  assert.is(await answers, 'answered');
  const outcome = fleet.send(0, '/hot', () =>
    fleet.crashes.length < 3
      ? { kind: 'crashes-target', afterMs: 30 }
      : { kind: 'answers', afterMs: 5 },
  );
  await fleet.runUntil(2_000);
  assert.is(await outcome, 'answered');
  assert.equal(fleet.quarantined, []);
});

test('updates about a request reach each VM a bounded number of times, then stop', async () => {
  const fleet = new Fleet(50, 2);
  void fleet.send(0, DEADLY, deadly);
  await fleet.runUntil(1_000);
  const { messageCount } = fleet;
  // Three crashes and the start and end of a trial, each to every peer except the sender.
  assert.ok(messageCount < 50 * 5 * 17, `${messageCount} messages`);
  await fleet.runUntil(5_000);
  assert.is(fleet.messageCount, messageCount);
});

test.run();
