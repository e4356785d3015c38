/** The part beside an exchange that notes what is told. */
import type { PeerReport } from '@limelead/share-evidence';
import { createManualTime, type ManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';
import createUsageComponent, { type UsageComponentOptions } from './usage-component.js';

const WINDOW_MS = 5_000;

interface Scene {
  time: ManualTime;
  part: FleetComponent;
  told: PeerReport[];
  begin(): void;
}

function createScene(): Scene {
  // Windows begin at whole multiples in true time, wherever this process started: one that
  // ends within the 300 ms of the test would part its counts.
  const time = createManualTime(WINDOW_MS - (performance.timeOrigin % WINDOW_MS));
  const told: PeerReport[] = [];
  const exchange = {
    linkedCandidates: [{ peer: 'b', linkedAtMs: 0 }],
    reportTo: (_peer: string, report: PeerReport) => void told.push(report),
    reportToPeers: (report: PeerReport) => void told.push(report),
  };
  const context = {
    ...time,
    platform: {},
    readExchange: () => exchange,
  } as unknown as FleetComponentContext;
  const options = {
    duties: { usageWindowMs: WINDOW_MS, usageDueMs: 10_000 },
    dutyPart: { duty: { permit: () => undefined } },
  } as unknown as UsageComponentOptions;
  const part = createUsageComponent(context, options);
  const begun = { organisation: 'a' } as never;
  return { time, part, told, begin: () => part.observer?.onBegun?.(begun, undefined as never) };
}

function listRequests(told: readonly PeerReport[]): number[] {
  return told.flatMap((report) =>
    report.kind === 'usage' ? report.windows.flatMap(({ counts }) => counts.map(([, n]) => n)) : [],
  );
}

test('a VM that stops tells what it counted up to its end', async () => {
  const { time, part, told, begin } = createScene();
  part.start();
  begin();
  await time.advance(300);
  assert.equal(listRequests(told), [1]);
  begin();
  await part.handOver();
  assert.equal(listRequests(told), [1, 2]);
  begin();
  part.onDrained?.();
  assert.equal(listRequests(told), [1, 2, 3]);
});

test.run();
