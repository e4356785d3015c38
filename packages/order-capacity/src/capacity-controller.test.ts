import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { BOOT_MS, SERVICE } from './fake-platform.fixture.js';
import createFleet from './fleet.fixture.js';

const SWAP_MS = BOOT_MS + 4_000;
const KNOWN_SECONDS = 40;

async function settled(options = {}) {
  const world = createFleet(options);
  const holder = world.createHolder('vm1', 1);
  await world.time.advance(SWAP_MS);
  return { world, holder };
}

test('a holder that knows nothing replaces plain by spot, and never has fewer', async () => {
  const world = createFleet();
  world.createHolder('vm1', 1);
  let least = Infinity;
  for (let step = 0; step < SWAP_MS / 100; step += 1) {
    await world.time.advance(100);
    least = Math.min(least, world.total());
  }
  assert.is(least, 84);
  assert.is(world.total(), 84);
  assert.is(world.count('a', false), 1);
  assert.is(world.count('a', true), 27);
  assert.is(world.orders.length, 6);
});

test('without the duty nothing is ordered', async () => {
  const world = createFleet();
  const holder = world.createHolder('vm1', 1);
  holder.state.token = undefined;
  await world.load([holder], { runs: 80, seconds: 30 });
  assert.is(world.orders.length, 0);
});

test('a service without scaling is left alone, also where it loses it in the middle', async () => {
  const { world, holder } = await settled();
  const ordered = world.orders.length;
  world.services[0] = { name: SERVICE, maxConnections: 100 };
  await world.load([holder], { runs: 80, seconds: 30 });
  assert.is(world.orders.length, ordered);
  world.services.length = 0;
  await world.load([holder], { runs: 80, seconds: 5 });
  assert.is(world.orders.length, ordered);
});

test('a jump of the load is followed within two seconds; a fall is not', async () => {
  const { world, holder } = await settled();
  await world.load([holder], { runs: 16, seconds: KNOWN_SECONDS });
  const before = world.total();
  await world.load([holder], { runs: 60, seconds: 4 });
  await world.time.advance(BOOT_MS);
  assert.ok(world.total() > before * 1.3, `${before} to ${world.total()}`);
  const risen = world.total();
  await world.load([holder], { runs: 16, seconds: 10 });
  assert.ok(world.total() >= risen, `${risen} to ${world.total()}`);
  await world.load([holder], { runs: 16, seconds: 90 });
  assert.ok(world.total() < risen, `still ${world.total()}`);
});

test('targets taken away are ordered elsewhere in the same second, and there once they are to be had', async () => {
  const { world, holder } = await settled();
  await world.load([holder], { runs: 16, seconds: KNOWN_SECONDS });
  const before = world.total();
  const spot = world.count('b', true);
  const atMs = world.time.clock.now();
  world.orders.length = 0;
  world.reclaim('b', 2_400);
  await world.load([holder], { runs: 16, seconds: 1 });
  const elsewhere = world.orders.filter(({ failureDomain }) => failureDomain !== 'b');
  assert.is(elsewhere.length, 2);
  elsewhere.forEach((order) => assert.ok(order.atMs - atMs <= 1_000 && order.isSpot));
  await world.load([holder], { runs: 16, seconds: 6 });
  assert.ok(world.total() >= before, `${world.total()} of ${before}`);
  const asked = world.orders.filter(({ failureDomain }) => failureDomain === 'b').length;
  assert.ok(asked >= 2 && asked <= 8, `${asked} questions at a dry domain`);
  world.dry.delete('b');
  await world.load([holder], { runs: 16, seconds: 15 });
  assert.is(world.count('b', true), spot);
  assert.ok(world.lines.some(({ event }) => event === 'spot-targets-reclaimed'));
});

test('a domain dies while the spot targets of its neighbour go: nothing is shrunk meanwhile', async () => {
  const { world, holder } = await settled();
  await world.load([holder], { runs: 16, seconds: KNOWN_SECONDS });
  world.lines.length = 0;
  world.reclaim('b', 2_400);
  world.loseDomain('a', 1_200);
  await world.load([holder], { runs: 16, seconds: 8 });
  const fewer = world.lines.filter(({ fields }) => fields['reason'] === 'fewer');
  assert.equal(fewer, []);
  assert.ok(world.count('a', true) + world.count('c', true) > world.count('b', true));
});

test('where spot is dry everywhere, spot targets that are there stay, and no reserve is plain', async () => {
  const { world, holder } = await settled();
  await world.load([holder], { runs: 16, seconds: KNOWN_SECONDS });
  const stays = world.count('a', true);
  ['a', 'c'].forEach((name) => world.dry.add(name));
  world.reclaim('b', 2_400);
  await world.load([holder], { runs: 16, seconds: 8 });
  assert.equal([world.count('a', true), world.count('a', false)], [stays, 1]);
});

test('plain targets stay while dry domains are asked again, and go once spot ones are back', async () => {
  const { world, holder } = await settled();
  await world.load([holder], { runs: 16, seconds: KNOWN_SECONDS });
  world.dry.add('c');
  ['a', 'b'].forEach((name) => world.reclaim(name, 2_400));
  await world.load([holder], { runs: 16, seconds: 2 });
  world.lines.length = 0;
  await world.load([holder], { runs: 16, seconds: 12 });
  assert.equal(
    world.lines.filter(({ fields }) => fields['reason'] === 'fewer'),
    [],
  );
  assert.ok(world.count('a', false) > 1);
  world.dry.clear();
  await world.load([holder], { runs: 16, seconds: 12 });
  assert.equal([world.count('a', false), world.count('b', false)], [1, 1]);
});

test('where all spot targets are taken away, plain ones carry the load', async () => {
  const { world, holder } = await settled();
  await world.load([holder], { runs: 16, seconds: KNOWN_SECONDS });
  ['a', 'b', 'c'].forEach((name) => world.reclaim(name, 2_400));
  await world.load([holder], { runs: 16, seconds: 8 });
  assert.ok(world.total() * 0.9 >= 16 * 8 * 0.14, `${world.total()} targets`);
  assert.is(world.count('a', true), 0);
});

for (const isFenced of [true, false]) {
  test(`orders that are carried out late and out of order are put right, fenced: ${isFenced}`, async () => {
    const world = createFleet({ isFenced });
    const holder = world.createHolder('vm1', 1);
    world.faults.losesAnswers = true;
    world.faults.lateMs = 12_000;
    await world.time.advance(3_000);
    world.faults.losesAnswers = false;
    await world.load([holder], { runs: 40, seconds: 40 });
    const total = world.total();
    await world.load([holder], { runs: 40, seconds: 12 });
    assert.is(world.total(), total);
    assert.ok(total >= 84, `${total} targets`);
    assert.is(world.count('a', false), 1);
  });
}

test('a holder that follows neither repeats nor undoes what was ordered', async () => {
  const { world, holder } = await settled();
  const next = world.createHolder('vm2', 2);
  next.state.token = undefined;
  await world.load([holder, next], { runs: 16, seconds: KNOWN_SECONDS });
  const total = world.total();
  holder.capacity.stop();
  world.orders.length = 0;
  next.state.token = 2;
  await world.load([holder, next], { runs: 16, seconds: 10 });
  assert.equal(world.orders, []);
  assert.is(world.total(), total);
});

test('a holder killed between two orders of one plan is followed by one that completes it', async () => {
  const world = createFleet();
  const holder = world.createHolder('vm1', 1);
  await world.time.advance(BOOT_MS + 100);
  holder.capacity.stop();
  const next = world.createHolder('vm2', 2);
  const there = world.total();
  await world.load([next], { runs: 20, seconds: 15 });
  assert.ok(world.total() >= there, `${world.total()} of ${there} before the load is known`);
  await world.load([next], { runs: 20, seconds: 40 });
  assert.is(world.count('c', false), 1);
  assert.ok(world.total() < there, `${world.total()} of ${there}`);
});

test('a change of the holder in a lull lowers nothing for as long as a need counts', async () => {
  const { world, holder } = await settled();
  const next = world.createHolder('vm2', 2);
  next.state.token = undefined;
  await world.load([holder, next], { runs: 40, seconds: KNOWN_SECONDS });
  await world.load([holder, next], { runs: 8, seconds: 16 });
  const total = world.total();
  holder.capacity.stop();
  next.state.token = 2;
  await world.load([next], { runs: 8, seconds: 19 });
  assert.ok(world.total() >= total, `${world.total()} of ${total}`);
});

test('a night with hardly any run does not bring back what there was at the start', async () => {
  const { world, holder } = await settled();
  await world.load([holder], { runs: 8, seconds: 60 });
  const total = world.total();
  assert.ok(total < 84);
  await world.load([holder], { runs: 0, seconds: 80 });
  assert.ok(world.total() <= total, `${world.total()} of ${total}`);
});

test('a paused holder whose token is outdated gives the duty up and orders nothing more', async () => {
  const { world, holder } = await settled();
  world.createHolder('vm2', 2);
  await world.time.advance(1_000);
  await world.load([holder], { runs: 90, seconds: 6 });
  const old = world.orders.filter(({ token }) => token === 1).length;
  await world.load([holder], { runs: 200, seconds: 6 });
  const late = world.orders.filter(({ token, count }) => token === 1 && count > 56);
  assert.equal(late, []);
  assert.ok(old >= 6);
});

test('a third of the VMs telling nothing shrinks nothing', async () => {
  const { world, holder } = await settled();
  await world.load([holder], { runs: 20, seconds: KNOWN_SECONDS });
  const total = world.total();
  await world.load([holder], { runs: 20, seconds: 14, vms: 3 });
  assert.ok(world.total() >= total, `${world.total()} of ${total}`);
});

test('one domain alone, and bounds that are equal', async () => {
  const { world, holder } = await settled({ domains: ['a'], plain: 20 });
  await world.load([holder], { runs: 4, seconds: 60 });
  assert.ok(world.count('a', false) >= 4);
  const fixed = await settled({ plain: 5, scaling: { min: 5, max: 5 } });
  await fixed.world.load([fixed.holder], { runs: 40, seconds: 40 });
  assert.is(fixed.world.total(), 15);
});

test('a look with 300 VMs and 400 targets takes little', async () => {
  const { world, holder } = await settled({ plain: 50 });
  await world.load([holder], { runs: 40, seconds: 20, vms: 300 });
  const startedAtMs = performance.now();
  await world.time.advance(10_000);
  const perLookMs = (performance.now() - startedAtMs) / 40;
  assert.ok(perLookMs < 10, `${perLookMs} ms a look`);
});

test.run();
