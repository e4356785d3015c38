/** The usage component with an exchange that records what is sent. */
import type { PeerReport } from '@limelead/share-evidence';
import { createManualTime, type ManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';
import createUsageComponent, { type UsageComponentOptions } from './usage-component.js';

const WINDOW_MS = 5_000;

interface Setup {
  time: ManualTime;
  component: FleetComponent;
  sent: PeerReport[];
  begin(): void;
}

function createSetup(): Setup {
  // Windows begin at multiples of their length, so start in one: its end within the test would
  // split the counts.
  const time = createManualTime(WINDOW_MS - (performance.timeOrigin % WINDOW_MS));
  const sent: PeerReport[] = [];
  const exchange = {
    linkedDutyCandidates: [{ peer: 'b', linkedAtMs: 0 }],
    sendReport: (_peer: string, report: PeerReport) => void sent.push(report),
    sendReportToGossipPeers: (report: PeerReport) => void sent.push(report),
  };
  const context = {
    ...time,
    platform: {},
    readExchange: () => exchange,
  } as unknown as FleetComponentContext;
  const options = {
    duties: { usageWindowMs: WINDOW_MS, usageDueMs: 10_000 },
    dutyComponent: { duty: { permit: () => undefined } },
  } as unknown as UsageComponentOptions;
  const component = createUsageComponent(context, options);
  const begun = { organisation: 'a' } as never;
  return {
    time,
    component,
    sent,
    begin: () => component.observer?.onRunStarted?.(begun, undefined as never),
  };
}

function listRequests(sent: readonly PeerReport[]): number[] {
  return sent.flatMap((report) =>
    report.kind === 'usage' ? report.windows.flatMap(({ counts }) => counts.map(([, n]) => n)) : [],
  );
}

test('a stopping VM sends its counts up to the end', async () => {
  const { time, component, sent, begin } = createSetup();
  component.start();
  begin();
  await time.advance(300);
  assert.equal(listRequests(sent), [1]);
  begin();
  await component.handOver();
  assert.equal(listRequests(sent), [1, 2]);
  begin();
  component.onDrained?.();
  assert.equal(listRequests(sent), [1, 2, 3]);
});

test.run();
