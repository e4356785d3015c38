/** Measures the slopes of docs/CAPACITY.md in this process, one after another. */
import chooseTarget from '@limelead/choose-target';
import {
  applyChanges,
  buildConfiguration,
  type Configuration,
} from '@limelead/configuration-state';
import { hashKey } from '@limelead/demo';
import { decodeMessage, encodeMessage, type PeerMessage } from '@limelead/peer-links';
import createHandleSigner from '@limelead/resume-handle';
import { splitIntoParts } from '@limelead/store-configuration';
import { createMemberTable } from '@limelead/track-members';
import { createTargetTable } from '@limelead/track-targets';
import type { Change, ListedVm, LoadReport, VersionedResource } from '@limelead/types';
import measureOpenStreams from './open-streams.js';
import { sum } from '../statistics.js';
import fitSlope, { type Slope } from './slope.js';

const ORGANISATION_COUNTS = [2_500, 5_000, 10_000, 20_000, 40_000];
const TARGET_COUNTS = [500, 1_000, 2_000, 3_500];
const MEMBER_COUNTS = [50, 100, 200, 410];
const DEMAND_COUNTS = [0, 100, 200, 400];
const SUBSET_SIZES = [25, 50, 100, 200];
const HANDLE_COUNTS = [1_000, 2_000, 4_000, 8_000];
const TIMED_ROUNDS = 5;
const KB = 1_024;

/** Measures all slopes, including those of daemons in other processes. */
export default async function measureSlopes(): Promise<Slope[]> {
  return [
    ...measureConfiguration(),
    ...measureHeartbeats(),
    ...measureTargets(),
    measureMembers(),
    measureTargetChoice(),
    ...measureHandles(),
    ...(await measureOpenStreams()),
  ];
}

function measureConfiguration(): Slope[] {
  const held: [number, number][] = [];
  const encoded: [number, number][] = [];
  const snapshotMs: [number, number][] = [];
  const changeMs: [number, number][] = [];
  for (const count of ORGANISATION_COUNTS) {
    const before = measureHeapKb();
    const configuration = createConfiguration(count);
    held.push([count, measureHeapKb() - before]);
    const parts = splitIntoParts(configuration);
    encoded.push([count, sum(parts.map((part) => JSON.stringify(part).length)) / KB]);
    snapshotMs.push([
      count,
      timeMs(() =>
        splitIntoParts(configuration).map((snapshotPart) => JSON.stringify(snapshotPart)),
      ),
    ]);
    changeMs.push([count, timeMs(() => applyChanges(configuration, [createChange(count + 1)]))]);
  }
  return [
    fitSlope('configuration held', 'organisation', 'KB', held),
    fitSlope('configuration as a snapshot', 'organisation', 'KB', encoded),
    fitSlope('encoding a snapshot', 'organisation', 'ms', snapshotMs),
    fitSlope('applying a change', 'organisation', 'ms', changeMs),
  ];
}

function measureHeartbeats(): Slope[] {
  const bytes: [number, number][] = [];
  const codecUs: [number, number][] = [];
  for (const count of DEMAND_COUNTS) {
    const message = createHeartbeat(count);
    bytes.push([count, encodeMessage(message).length]);
    codecUs.push([count, timeMs(() => decodeMessage(encodeMessage(message)), 200) * 1_000]);
  }
  return [
    fitSlope('heartbeat', 'organisation with demand', 'bytes', bytes),
    fitSlope('encoding and decoding a heartbeat', 'organisation with demand', 'µs', codecUs),
  ];
}

function measureTargets(): Slope[] {
  const held: [number, number][] = [];
  const listKb: [number, number][] = [];
  const listMs: [number, number][] = [];
  for (const count of TARGET_COUNTS) {
    const before = measureHeapKb();
    const table = createFilledTargetTable(count);
    held.push([count, measureHeapKb() - before]);
    const { list } = table.list();
    listKb.push([count, encodeMessage({ kind: 'list', list, ageMs: 0 }).length / KB]);
    let { version } = list;
    listMs.push([count, timeMs(() => table.applyList({ ...list, version: (version += 1) }, 0))]);
  }
  return [
    fitSlope('target table held', 'target', 'KB', held),
    fitSlope('list of VMs', 'listed VM', 'KB', listKb),
    fitSlope('taking a changed list', 'listed VM', 'ms', listMs),
  ];
}

function measureMembers(): Slope {
  const held = MEMBER_COUNTS.map((count) => {
    const table = createMemberTable('vm-self');
    const vms = Array.from({ length: count }, (_, index) => createListedVm(`vm-${index}`, 'entry'));
    return [
      count,
      timeMs(() => (table.applyVmList({ version: 1, vms }, 0), table.present(0))),
    ] as const;
  });
  return fitSlope('taking the list into the member table', 'VM', 'ms', held);
}

function measureTargetChoice(): Slope {
  const points = SUBSET_SIZES.map((count) => {
    const table = createFilledTargetTable(count);
    const targets = table.listUsableEngines(0);
    const prefixHashes = Array.from({ length: 30 }, (_, index) => `hash-${index}`);
    const request = { prefixHashes, inputTokens: 500, failureDomain: 'd0', exclude: [] };
    const routing = { ...request, meanAnswerTokens: 64, now: 0 };
    const choose = () => chooseTarget(targets, routing, { next: Math.random });
    return [count, timeMs(choose, 500) * 1_000] as const;
  });
  return fitSlope('choosing a target', 'target in the subset', 'µs', points);
}

function measureHandles(): Slope[] {
  const signer = createHandleSigner('a-secret-of-all-vms');
  const subject = {
    organisation: 'haneul',
    requestId: 'r1',
    service: 'feedback-sheet',
    prompt: 'x'.repeat(4_000),
    maxTokens: 100,
  };
  const point = {
    binding: { modelVersion: { model: 'm', adapter: '', version: '1' }, seed: 7 },
    targetId: 'e1',
    generationId: 'g-1',
    attempt: 3,
  };
  const handle = signer.sign(subject, point);
  const timeRuns = (run: () => unknown) =>
    HANDLE_COUNTS.map((count) => [count, timeMs(() => repeat(count, run))] as const);
  return [
    fitSlope(
      'signing handles',
      'handle',
      'ms',
      timeRuns(() => signer.sign({ ...subject }, point)),
    ),
    fitSlope(
      'checking handles',
      'handle',
      'ms',
      timeRuns(() => signer.verify(handle, { ...subject })),
    ),
  ];
}

function createConfiguration(organisations: number): Configuration {
  const resources = Array.from({ length: organisations }, (_, index): VersionedResource => ({
    revision: 1,
    resource: { kind: 'organisation', spec: createOrganisation(index) },
  }));
  return buildConfiguration(organisations, resources, []);
}

function createOrganisation(index: number) {
  return {
    name: `organisation-${index}`,
    keyHashes: [hashKey(`first ${index}`), hashKey(`second ${index}`)],
    weight: 1,
    requestsPerSecond: 10,
    maxConcurrent: 100,
  };
}

function createChange(revision: number): Change {
  return {
    changeId: `c${revision}`,
    baseRevision: revision - 1,
    operations: [{ put: { kind: 'organisation', spec: createOrganisation(0) } }],
    reason: 'measure',
    revision,
    operator: 'mina',
    atMs: 0,
  };
}

function createHeartbeat(organisations: number): PeerMessage {
  return {
    kind: 'heartbeat',
    id: 'vm-123',
    host: '10.20.30.40',
    port: 8081,
    failureDomain: 'domain-12',
    incarnation: 'vm-123.0123456789ab',
    revision: 123_456,
    leaving: false,
    listVersion: 123_456,
    listAgeMs: 1_234,
    demand: Array.from({ length: organisations }, (_, index) => ({
      organisation: `organisation-${index}`,
      requestsPerSecond: index / 7,
    })),
  };
}

function createFilledTargetTable(count: number) {
  const table = createTargetTable({ maxListAgeMs: 1_000 });
  const vms = Array.from({ length: count }, (_, index) =>
    createListedVm(`engine-${index}`, 'engine'),
  );
  table.applyList({ version: 1, vms }, 0);
  vms.forEach(({ id }) => table.applyReport(id, createReport(), 0));
  return table;
}

function createListedVm(id: string, role: ListedVm['role']): ListedVm {
  const failureDomain = `d${id.length % 5}`;
  return {
    id,
    role,
    host: '10.20.30.40',
    port: 8_080,
    failureDomain,
    leaving: false,
    services: [],
  };
}

/** Returns an engine's load report with two loaded versions. */
export function createReport(): LoadReport {
  const version = { model: 'tutor-large', adapter: 'music', version: '2026-11' };
  return {
    takenAtMs: 1_764_667_000_000,
    running: 12,
    waiting: 3,
    slots: 16,
    tokenGapMs: 31.25,
    prefillTokensPerSecond: 20_000,
    loaded: [version, { ...version, version: '2026-12' }],
    fence: 42,
  };
}

/** Returns the median duration of one run, after a warm-up. */
function timeMs(run: () => unknown, runs = 1): number {
  repeat(runs, run);
  const times = Array.from({ length: TIMED_ROUNDS }, () => {
    const startedAt = performance.now();
    repeat(runs, run);
    return (performance.now() - startedAt) / runs;
  });
  return times.sort((a, b) => a - b)[Math.floor(TIMED_ROUNDS / 2)] ?? 0;
}

function repeat(count: number, run: () => unknown): void {
  for (let index = 0; index < count; index += 1) {
    run();
  }
}

/** Returns the heap in use after a garbage collection; requires `--expose-gc`. */
export function measureHeapKb(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / KB;
}
