import { test } from 'uvu';
import * as assert from 'uvu/assert';
import chooseGrantor from './choose-grantor.js';
import { SimulatedFleet } from './fleet.fixture.js';

const SERVICES = ['api', 'llm', 'portal'];
/** Time in which all members of a new fleet learn of each other. */
const SETTLED_MS = 10_000;
/** Time in which a fleet that lost a VM agrees on another grantor. */
const AGREED_AGAIN_MS = 5_000;

/** Returns the distinct grantors that the VMs of a fleet choose for a service. */
function listChosen(fleet: SimulatedFleet, service: string): (string | undefined)[] {
  const chosen = [...fleet.vms.values()].map(({ membership }) =>
    chooseGrantor(service, membership.listGrantorCandidates()),
  );
  return [...new Set(chosen)];
}

/** Returns the grantor of a service on which all VMs agree. */
function findAgreed(fleet: SimulatedFleet, service: string): string {
  const [grantor = '', ...others] = listChosen(fleet, service);
  assert.equal(others, []);
  assert.ok(fleet.vms.has(grantor));
  return grantor;
}

for (const size of [3, 6, 88, 195]) {
  test(`${size} VMs agree on one grantor for a service, and on another when it is lost`, () => {
    const fleet = new SimulatedFleet(size);
    fleet.advanceTo(SETTLED_MS);
    const [grantor = ''] = SERVICES.map((service) => findAgreed(fleet, service));
    fleet.vms.get(grantor)?.stop();
    fleet.vms.delete(grantor);
    fleet.advanceTo(SETTLED_MS + AGREED_AGAIN_MS);
    SERVICES.forEach((service) => assert.is.not(findAgreed(fleet, service), grantor));
  });
}

test('services are distributed over the VMs', () => {
  const vms = Array.from({ length: 6 }, (_, index) => `10.0.0.${index}:7200`);
  const services = Array.from({ length: 60 }, (_, index) => `service ${index}`);
  const grantors = new Set(services.map((service) => chooseGrantor(service, vms)));
  assert.is(grantors.size, vms.length);
});

test.run();
