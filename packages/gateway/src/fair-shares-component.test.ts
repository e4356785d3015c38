import createMetrics from '@limelead/metrics';
import type { AdmittedRequest } from '@limelead/forward-request';
import type { DecisionLog } from '@limelead/decision-log';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import FairSharesComponent from './fair-shares-component.js';

function create() {
  const time = { now: 0 };
  const log = { write: () => undefined } as unknown as DecisionLog;
  const clock = { now: () => time.now };
  const component = new FairSharesComponent({ clock, log, metrics: createMetrics() });
  return { component, time };
}

function toAdmitted(organisation: string, service = 's'): AdmittedRequest {
  return { organisation, service } as AdmittedRequest;
}

test('further attempts of a request do not count as served requests', () => {
  const { component } = create();
  const admitted = toAdmitted('a');
  component.observer.onAdmitted?.(admitted);
  component.recordServed(admitted, 0);
  component.recordServed(admitted, 0);
  const [demand] = component.readDemand();
  assert.is(demand?.served, demand?.arrivals);
});

test('the demand of peers limits an organisation that sends most of its load there', () => {
  const { component, time } = create();
  for (time.now = 0; time.now <= 2_000; time.now += 20) {
    for (const organisation of ['a', 'b']) {
      const admitted = toAdmitted(organisation);
      component.observer.onAdmitted?.(admitted);
      component.recordServed(admitted, time.now);
    }
  }
  assert.is(component.excessOf(toAdmitted('a'), 2_000), 0);
  const organisations: [string, number][] = [['a', 500]];
  time.now = 2_100;
  component.onPeerDemand('peer', [{ service: 's', arrivals: 500, served: 100, organisations }]);
  assert.ok(component.excessOf(toAdmitted('a'), 2_100) > 2);
  assert.is(component.excessOf(toAdmitted('b'), 2_100), 0);
});

test('the number of services is bounded, and an unknown service limits nobody', () => {
  const { component } = create();
  for (let index = 0; index < 100; index += 1) {
    component.observer.onAdmitted?.(toAdmitted('a', `s${index}`));
  }
  assert.is(component.readDemand().length, 64);
  assert.is(component.excessOf(toAdmitted('a', 's99'), 0), 0);
});

test.run();
