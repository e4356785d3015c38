import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { BOOT_MS, SERVICE } from './fake-platform.fixture.js';
import createFleet from './fleet.fixture.js';

const SWITCH_TO_SPOT_MS = BOOT_MS + 4_000;
const LOAD_KNOWN_SECONDS = 40;

async function createSettledFleet(options = {}) {
  const fleet = createFleet(options);
  const holder = fleet.createHolder('vm1', 1);
  await fleet.time.advance(SWITCH_TO_SPOT_MS);
  return { fleet, holder };
}

test('a new holder replaces plain targets by spot ones without ever having fewer', async () => {
  const fleet = createFleet();
  fleet.createHolder('vm1', 1);
  let fewest = Infinity;
  for (let step = 0; step < SWITCH_TO_SPOT_MS / 100; step += 1) {
    await fleet.time.advance(100);
    fewest = Math.min(fewest, fleet.total());
  }
  assert.is(fewest, 84);
  assert.is(fleet.total(), 84);
  assert.is(fleet.count('a', false), 1);
  assert.is(fleet.count('a', true), 27);
  assert.is(fleet.orders.length, 6);
});

test('without the duty nothing is ordered', async () => {
  const fleet = createFleet();
  const holder = fleet.createHolder('vm1', 1);
  holder.state.token = undefined;
  await fleet.load([holder], { runs: 80, seconds: 30 });
  assert.is(fleet.orders.length, 0);
});

test('no orders are sent for a service without scaling, or after it lost its scaling', async () => {
  const { fleet, holder } = await createSettledFleet();
  const ordered = fleet.orders.length;
  fleet.services[0] = { name: SERVICE, maxConnections: 100 };
  await fleet.load([holder], { runs: 80, seconds: 30 });
  assert.is(fleet.orders.length, ordered);
  fleet.services.length = 0;
  await fleet.load([holder], { runs: 80, seconds: 5 });
  assert.is(fleet.orders.length, ordered);
});

test('an increase of the load is followed within two seconds; a decrease is not', async () => {
  const { fleet, holder } = await createSettledFleet();
  await fleet.load([holder], { runs: 16, seconds: LOAD_KNOWN_SECONDS });
  const before = fleet.total();
  await fleet.load([holder], { runs: 60, seconds: 4 });
  await fleet.time.advance(BOOT_MS);
  assert.ok(fleet.total() > before * 1.3, `${before} to ${fleet.total()}`);
  const risen = fleet.total();
  await fleet.load([holder], { runs: 16, seconds: 10 });
  assert.ok(fleet.total() >= risen, `${risen} to ${fleet.total()}`);
  await fleet.load([holder], { runs: 16, seconds: 90 });
  assert.ok(fleet.total() < risen, `still ${fleet.total()}`);
});

test('reclaimed targets are replaced in other domains within a second, and in theirs once available', async () => {
  const { fleet, holder } = await createSettledFleet();
  await fleet.load([holder], { runs: 16, seconds: LOAD_KNOWN_SECONDS });
  const before = fleet.total();
  const spot = fleet.count('b', true);
  const atMs = fleet.time.clock.now();
  fleet.orders.length = 0;
  fleet.reclaim('b', 2_400);
  await fleet.load([holder], { runs: 16, seconds: 1 });
  const elsewhere = fleet.orders.filter(({ failureDomain }) => failureDomain !== 'b');
  assert.is(elsewhere.length, 2);
  elsewhere.forEach((order) => assert.ok(order.atMs - atMs <= 1_000 && order.isSpot));
  await fleet.load([holder], { runs: 16, seconds: 6 });
  assert.ok(fleet.total() >= before, `${fleet.total()} of ${before}`);
  const asked = fleet.orders.filter(({ failureDomain }) => failureDomain === 'b').length;
  assert.ok(asked >= 2 && asked <= 8, `${asked} orders attempted at a domain without spot targets`);
  fleet.domainsWithoutSpot.delete('b');
  await fleet.load([holder], { runs: 16, seconds: 15 });
  assert.is(fleet.count('b', true), spot);
  assert.ok(fleet.lines.some(({ event }) => event === 'spot-targets-reclaimed'));
});

test('nothing is scaled down while a domain is lost and the spot targets of another are reclaimed', async () => {
  const { fleet, holder } = await createSettledFleet();
  await fleet.load([holder], { runs: 16, seconds: LOAD_KNOWN_SECONDS });
  fleet.lines.length = 0;
  fleet.reclaim('b', 2_400);
  fleet.loseDomain('a', 1_200);
  await fleet.load([holder], { runs: 16, seconds: 8 });
  const fewer = fleet.lines.filter(({ fields }) => fields['reason'] === 'fewer');
  assert.equal(fewer, []);
  assert.ok(fleet.count('a', true) + fleet.count('c', true) > fleet.count('b', true));
});

test('with no spot targets available, present ones stay and no plain reserve is ordered', async () => {
  const { fleet, holder } = await createSettledFleet();
  await fleet.load([holder], { runs: 16, seconds: LOAD_KNOWN_SECONDS });
  const spotBefore = fleet.count('a', true);
  ['a', 'c'].forEach((name) => fleet.domainsWithoutSpot.add(name));
  fleet.reclaim('b', 2_400);
  await fleet.load([holder], { runs: 16, seconds: 8 });
  assert.equal([fleet.count('a', true), fleet.count('a', false)], [spotBefore, 1]);
});

test('plain targets stay during spot retries, and are removed once spot ones are back', async () => {
  const { fleet, holder } = await createSettledFleet();
  await fleet.load([holder], { runs: 16, seconds: LOAD_KNOWN_SECONDS });
  fleet.domainsWithoutSpot.add('c');
  ['a', 'b'].forEach((name) => fleet.reclaim(name, 2_400));
  await fleet.load([holder], { runs: 16, seconds: 2 });
  fleet.lines.length = 0;
  await fleet.load([holder], { runs: 16, seconds: 12 });
  assert.equal(
    fleet.lines.filter(({ fields }) => fields['reason'] === 'fewer'),
    [],
  );
  assert.ok(fleet.count('a', false) > 1);
  fleet.domainsWithoutSpot.clear();
  await fleet.load([holder], { runs: 16, seconds: 12 });
  assert.equal([fleet.count('a', false), fleet.count('b', false)], [1, 1]);
});

test('plain targets carry the load after all spot targets are reclaimed', async () => {
  const { fleet, holder } = await createSettledFleet();
  await fleet.load([holder], { runs: 16, seconds: LOAD_KNOWN_SECONDS });
  ['a', 'b', 'c'].forEach((name) => fleet.reclaim(name, 2_400));
  await fleet.load([holder], { runs: 16, seconds: 8 });
  assert.ok(fleet.total() * 0.9 >= 16 * 8 * 0.14, `${fleet.total()} targets`);
  assert.is(fleet.count('a', true), 0);
});

for (const isFenced of [true, false]) {
  test(`orders carried out late and out of order are corrected, fenced: ${isFenced}`, async () => {
    const fleet = createFleet({ isFenced });
    const holder = fleet.createHolder('vm1', 1);
    fleet.faults.losesAnswers = true;
    fleet.faults.lateMs = 12_000;
    await fleet.time.advance(3_000);
    fleet.faults.losesAnswers = false;
    await fleet.load([holder], { runs: 40, seconds: 40 });
    const total = fleet.total();
    await fleet.load([holder], { runs: 40, seconds: 12 });
    assert.is(fleet.total(), total);
    assert.ok(total >= 84, `${total} targets`);
    assert.is(fleet.count('a', false), 1);
  });
}

test('a new holder neither repeats nor reverts earlier orders', async () => {
  const { fleet, holder } = await createSettledFleet();
  const next = fleet.createHolder('vm2', 2);
  next.state.token = undefined;
  await fleet.load([holder, next], { runs: 16, seconds: LOAD_KNOWN_SECONDS });
  const total = fleet.total();
  holder.capacity.stop();
  fleet.orders.length = 0;
  next.state.token = 2;
  await fleet.load([holder, next], { runs: 16, seconds: 10 });
  assert.equal(fleet.orders, []);
  assert.is(fleet.total(), total);
});

test('a new holder completes the plan of one that was killed between two orders', async () => {
  const fleet = createFleet();
  const holder = fleet.createHolder('vm1', 1);
  await fleet.time.advance(BOOT_MS + 100);
  holder.capacity.stop();
  const next = fleet.createHolder('vm2', 2);
  const initial = fleet.total();
  await fleet.load([next], { runs: 20, seconds: 15 });
  assert.ok(fleet.total() >= initial, `${fleet.total()} of ${initial} before the load is known`);
  await fleet.load([next], { runs: 20, seconds: 40 });
  assert.is(fleet.count('c', false), 1);
  assert.ok(fleet.total() < initial, `${fleet.total()} of ${initial}`);
});

test('a change of holder during low load does not scale down within the delay', async () => {
  const { fleet, holder } = await createSettledFleet();
  const next = fleet.createHolder('vm2', 2);
  next.state.token = undefined;
  await fleet.load([holder, next], { runs: 40, seconds: LOAD_KNOWN_SECONDS });
  await fleet.load([holder, next], { runs: 8, seconds: 16 });
  const total = fleet.total();
  holder.capacity.stop();
  next.state.token = 2;
  await fleet.load([next], { runs: 8, seconds: 19 });
  assert.ok(fleet.total() >= total, `${fleet.total()} of ${total}`);
});

test('a long time with hardly any runs does not restore the initial targets', async () => {
  const { fleet, holder } = await createSettledFleet();
  await fleet.load([holder], { runs: 8, seconds: 60 });
  const total = fleet.total();
  assert.ok(total < 84);
  await fleet.load([holder], { runs: 0, seconds: 80 });
  assert.ok(fleet.total() <= total, `${fleet.total()} of ${total}`);
});

test('a paused holder with an outdated token gives up the duty and sends no more orders', async () => {
  const { fleet, holder } = await createSettledFleet();
  fleet.createHolder('vm2', 2);
  await fleet.time.advance(1_000);
  await fleet.load([holder], { runs: 90, seconds: 6 });
  const old = fleet.orders.filter(({ token }) => token === 1).length;
  await fleet.load([holder], { runs: 200, seconds: 6 });
  const late = fleet.orders.filter(({ token, count }) => token === 1 && count > 56);
  assert.equal(late, []);
  assert.ok(old >= 6);
});

test('missing reports of some VMs do not scale down', async () => {
  const { fleet, holder } = await createSettledFleet();
  await fleet.load([holder], { runs: 20, seconds: LOAD_KNOWN_SECONDS });
  const total = fleet.total();
  await fleet.load([holder], { runs: 20, seconds: 14, vms: 3 });
  assert.ok(fleet.total() >= total, `${fleet.total()} of ${total}`);
});

test('a single domain, and equal bounds', async () => {
  const { fleet, holder } = await createSettledFleet({ domains: ['a'], plain: 20 });
  await fleet.load([holder], { runs: 4, seconds: 60 });
  assert.ok(fleet.count('a', false) >= 4);
  const fixed = await createSettledFleet({ plain: 5, scaling: { min: 5, max: 5 } });
  await fixed.fleet.load([fixed.holder], { runs: 40, seconds: 40 });
  assert.is(fixed.fleet.total(), 15);
});

test('a planning pass with 300 VMs and 400 targets is fast', async () => {
  const { fleet, holder } = await createSettledFleet({ plain: 50 });
  await fleet.load([holder], { runs: 40, seconds: 20, vms: 300 });
  const startedAtMs = performance.now();
  await fleet.time.advance(10_000);
  const perPassMs = (performance.now() - startedAtMs) / 40;
  assert.ok(perPassMs < 10, `${perPassMs} ms per pass`);
});

test.run();
