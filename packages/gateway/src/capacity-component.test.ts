import type { AdmittedRequest } from '@limelead/forward-request';
import createMetrics from '@limelead/metrics';
import type { DutyAnswer } from '@limelead/ports';
import { createManualTime } from '@limelead/stand-ins';
import type { ServedService, ServiceTarget } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createCapacityComponent from './capacity-component.js';
import type { FleetComponentContext } from './fleet-component.js';

const SCALING = { min: 1, max: 9, bootMs: 4_000, domainPrices: {} };
const TARGET = { id: 't', service: 's' } as ServiceTarget;

function createSetup(service: Partial<ServedService>) {
  const time = createManualTime();
  const reports: unknown[] = [];
  const services = [{ name: 's', maxConnections: 9, ...service }];
  const context = {
    settings: { vm: 'vm1', capacity: {} },
    ...time,
    random: { next: () => 0.5 },
    log: { write: () => undefined },
    metrics: createMetrics(),
    directory: { all: () => [] },
    storeView: {
      routes: { listServices: () => services, findService: () => services[0] },
    },
    readExchange: () => ({
      sendReportToDutyCandidates: (report: unknown) => void reports.push(report),
    }),
  } as unknown as FleetComponentContext;
  const component = createCapacityComponent(context, {
    duties: { callsPerSecond: 9 } as never,
    duty: { holder: 'vm1', permit: () => undefined, markTokenOutdated: () => undefined },
    dutyPlatform: {
      reportUsage: () => async () => E.right<never, DutyAnswer>('taken'),
      orderTargets: () => async () => E.right<never, DutyAnswer>('invalid'),
    },
  });
  component.start();
  return { component, time, reports };
}

const ADMITTED = {
  service: 's',
  request: { promptTokens: 800, lastPiece: 0 },
} as AdmittedRequest;

test('a VM reports the demand for a service with scaling', async () => {
  const { component, time, reports } = createSetup({ scaling: SCALING });
  component.observer?.onAdmitted?.(ADMITTED);
  await time.advance(1_000);
  component.observer?.onRunStarted?.(ADMITTED, TARGET);
  await time.advance(1_000);
  component.observer?.onAttemptEnded?.(ADMITTED, TARGET, { isGood: true, afterMs: 100 });
  component.observer?.onFinished?.(ADMITTED);
  await time.advance(1_000);
  const seen = reports.map((report) => (report as { services: unknown[] }).services[0]);
  const base = { service: 's', arrived: 1, promptTokens: 800 };
  const unread = { begunTokens: 0, begunMs: 0 };
  assert.equal(seen, [
    { ...base, running: 0, waiting: 1, ...unread },
    { ...base, running: 1, waiting: 0, ...unread },
    { ...base, running: 0, waiting: 0, begunTokens: 800, begunMs: 100 },
  ]);
});

test('without scaling nothing is counted or reported', async () => {
  const { component, time, reports } = createSetup({});
  component.observer?.onAdmitted?.(ADMITTED);
  component.observer?.onFinished?.(ADMITTED);
  await time.advance(5_000);
  assert.equal(reports, []);
});

test.run();
