import { test } from 'uvu';
import * as assert from 'uvu/assert';
import chooseGrantor from './choose-grantor.js';
import { Fleet } from './fleet.fixture.js';

const SERVICES = ['api', 'llm', 'portal'];
/** Time in which a fleet that starts knows itself. */
const SETTLED_MS = 10_000;
/** Time in which a fleet that lost a VM agrees on another. */
const AGREED_AGAIN_MS = 5_000;

/** The grantors of a service that the VMs of a fleet choose, each once. */
function listChosen(fleet: Fleet, service: string): (string | undefined)[] {
  const chosen = [...fleet.vms.values()].map(({ membership }) =>
    chooseGrantor(service, membership.listDeciders()),
  );
  return [...new Set(chosen)];
}

/** The one grantor of a service. */
function findAgreed(fleet: Fleet, service: string): string {
  const [grantor = '', ...others] = listChosen(fleet, service);
  assert.equal(others, []);
  assert.ok(fleet.vms.has(grantor));
  return grantor;
}

for (const size of [3, 6, 88, 195]) {
  test(`${size} VMs choose one grantor for a service, and another when it is gone`, () => {
    const fleet = new Fleet(size);
    fleet.playUntil(SETTLED_MS);
    const [grantor = ''] = SERVICES.map((service) => findAgreed(fleet, service));
    fleet.vms.get(grantor)?.stop();
    fleet.vms.delete(grantor);
    fleet.playUntil(SETTLED_MS + AGREED_AGAIN_MS);
    SERVICES.forEach((service) => assert.is.not(findAgreed(fleet, service), grantor));
  });
}

test('services are spread over the VMs', () => {
  const vms = Array.from({ length: 6 }, (_, index) => `10.0.0.${index}:7200`);
  const services = Array.from({ length: 60 }, (_, index) => `service ${index}`);
  const grantors = new Set(services.map((service) => chooseGrantor(service, vms)));
  assert.is(grantors.size, vms.length);
});

test.run();
