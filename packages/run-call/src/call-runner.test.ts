/** A non-repeatable call must run at most once, across several VMs and over real sockets. */
import { createCallClaimer } from '@limelead/claim-call';
import { LimeleadError } from '@limelead/errors';
import { createHttpTargetConnector, createHttpTransport } from '@limelead/http-adapters';
import createMetrics from '@limelead/metrics';
import createEventBus from '@limelead/observe-events';
import {
  createInProcessStore,
  createKeyValueState,
  startPlainService,
  type PlainServiceStandIn,
  type StoreFaults,
} from '@limelead/stand-ins';
import { createTargetTable } from '@limelead/track-targets';
import { systemClock, systemRandom, systemTimers } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createCallRunner, type CallRequest, type CallRunner } from './index.js';

const CALL: CallRequest = {
  organisation: 'haneul',
  requestId: 'booking-1',
  service: 'booking',
  operation: 'book-room',
  body: new Uint8Array(),
  repeatable: false,
  notAfterMs: Number.MAX_SAFE_INTEGER,
  timeoutMs: 2_000,
};

interface System {
  runners: CallRunner[];
  services: PlainServiceStandIn[];
  runs(requestId?: string): number;
  faults: StoreFaults;
}

async function withSystem(run: (system: System) => Promise<void>): Promise<void> {
  const services = [await startPlainService(), await startPlainService()];
  const transport = createHttpTransport();
  const faults: StoreFaults = { isUnavailable: false, decideSwap: () => 'ok' };
  const store = createInProcessStore(createKeyValueState(systemClock), faults);
  const runners: CallRunner[] = [];
  for (const incarnation of ['vm-1', 'vm-2']) {
    const targets = createTargetTable({ maxListAgeMs: Number.MAX_SAFE_INTEGER });
    targets.applyList({ version: 1, vms: services.map(toListed) }, systemClock.now());
    runners.push(
      createCallRunner({
        clock: systemClock,
        random: systemRandom,
        metrics: createMetrics(),
        bus: createEventBus(incarnation, systemClock),
        targets,
        connector: createHttpTargetConnector(transport),
        claimer: createCallClaimer({
          store,
          clock: systemClock,
          timers: systemTimers,
          random: systemRandom,
          incarnation,
        }),
        queryHolder: async (holder, organisation, requestId) =>
          (await runners[holder === 'vm-1' ? 0 : 1]?.findOutcome(organisation, requestId)) ?? {
            kind: 'unknown',
          },
      }),
    );
  }
  const runs = (requestId = CALL.requestId): number =>
    services.reduce((sum, service) => sum + (service.runs().get(requestId) ?? 0), 0);
  try {
    await run({ runners, services, runs, faults });
  } finally {
    await Promise.all(services.map((service) => service.stop()));
    await transport.close();
  }
}

function toListed({ port }: PlainServiceStandIn, index: number) {
  return {
    id: `plain-${index}`,
    role: 'plain' as const,
    host: '127.0.0.1',
    port,
    failureDomain: 'suwon',
    leaving: false,
    services: ['booking'],
  };
}

async function kindOf(call: Promise<unknown>): Promise<string> {
  try {
    await call;
    return 'answered';
  } catch (thrown) {
    return thrown instanceof LimeleadError ? `${thrown.kind}/${thrown.answer.execution}` : 'other';
  }
}

function runnerOf(system: System, index: number): CallRunner {
  const runner = system.runners[index];
  assert.ok(runner);
  return runner;
}

test('a retry through another VM returns the recorded answer without a second run', () =>
  withSystem(async (system) => {
    const first = await runnerOf(system, 0).run(CALL);
    const second = await runnerOf(system, 1).run(CALL);
    assert.is(first.replayed, false);
    assert.is(second.replayed, true);
    assert.equal(Buffer.from(second.answer.body), Buffer.from(first.answer.body));
    assert.is(system.runs(), 1);
  }));

test('concurrent retries through two VMs run the call once and return its answer', () =>
  withSystem(async (system) => {
    system.services.forEach((service) => service.setCallDurationMs(50));
    const both = await Promise.all([
      runnerOf(system, 0).run(CALL),
      runnerOf(system, 1).run(CALL),
      runnerOf(system, 0).run(CALL),
    ]);
    assert.equal(
      both.map(({ answer }) => answer.status),
      [200, 200, 200],
    );
    assert.is(system.runs(), 1);
  }));

test('a call whose reply was lost has an unknown outcome on every VM and is not run again', () =>
  withSystem(async (system) => {
    system.services.forEach((service) => service.dropReplies(1));
    assert.is(await kindOf(runnerOf(system, 0).run(CALL)), 'outcome-unknown/unknown');
    assert.is(await kindOf(runnerOf(system, 0).run(CALL)), 'outcome-unknown/unknown');
    assert.is(await kindOf(runnerOf(system, 1).run(CALL)), 'outcome-unknown/unknown');
    assert.is(system.runs(), 1);
  }));

test('a call is retried at another target after a refused connection', () =>
  withSystem(async (system) => {
    await system.services[0]?.crash();
    for (let index = 0; index < 6; index += 1) {
      const call = { ...CALL, requestId: `booking-${index}` };
      assert.is((await runnerOf(system, 0).run(call)).answer.status, 200);
      assert.is(system.runs(call.requestId), 1);
    }
  }));

test('during a store outage the call is not run and can be retried later', () =>
  withSystem(async (system) => {
    system.faults.isUnavailable = true;
    assert.is(await kindOf(runnerOf(system, 0).run(CALL)), 'store-unavailable/not-run');
    assert.is(system.runs(), 0);
    system.faults.isUnavailable = false;
    assert.is(await kindOf(runnerOf(system, 1).run(CALL)), 'answered');
    assert.is(system.runs(), 1);
  }));

test('with every target down the call is not run and its claim does not block a retry', () =>
  withSystem(async (system) => {
    await Promise.all(system.services.map((service) => service.crash()));
    assert.is(await kindOf(runnerOf(system, 0).run(CALL)), 'no-target/not-run');
    await Promise.all(system.services.map((service) => service.restart()));
    assert.is(await kindOf(runnerOf(system, 0).run(CALL)), 'answered');
    assert.is(system.runs(), 1);
  }));

test('a call past its latest start time is refused as not run', () =>
  withSystem(async (system) => {
    const call = { ...CALL, notAfterMs: systemClock.now() - 1 };
    assert.is(await kindOf(runnerOf(system, 0).run(call)), 'call-expired/not-run');
    assert.is(system.runs(), 0);
  }));

test('without a claim a call retried through another VM runs twice', () =>
  withSystem(async (system) => {
    const call = { ...CALL, repeatable: true };
    await runnerOf(system, 0).run(call);
    await runnerOf(system, 1).run(call);
    assert.is(system.runs(), 2);
  }));

test.run();
