/** The rows of the page, worked out from slopes and sizes. */
import { createReport } from './measure-slopes.js';
import {
  CONTROL_BUDGET,
  FLEET_SETTINGS,
  MB_IN_KB,
  POLL_OVERHEAD_BYTES,
  SERVICE_BUDGET,
  TARGET,
  TODAY,
  TOKEN_GAP_SECONDS,
  type SystemSize,
} from './sizes.js';
import { valueAt, type Slope } from './slope.js';

/** One row. */
export interface CapacityRow {
  role: string;
  what: string;
  mechanism: string;
  formula: string;
  unit: string;
  today: number;
  target: number;
  budget?: number;
  /** Undefined where there is no budget to hold it against. */
  fits?: boolean;
  /** What would make it fit. */
  remedy?: string;
}

type RowText = Omit<CapacityRow, 'today' | 'target' | 'fits'>;

/** Seconds after which an organisation's demand has decayed out of the heartbeats. */
const DEMAND_MEMORY_SECONDS = 13;
const SECONDS_A_DAY = 86_400;
const CHANGE_KB = 0.5;
const KB_PER_BYTE = 1 / 1_024;

/** What each role holds and spends. */
export function assembleRoleRows(slopes: readonly Slope[]): CapacityRow[] {
  const find = (name: string, per?: string): Slope => findSlope(slopes, name, per);
  const streams = (size: SystemSize): number =>
    (size.tokensPerSecond * TOKEN_GAP_SECONDS) / size.vms;
  const memory = find('resident memory of the daemon');
  const perToken = find('processor time of the daemon', 'token');
  const perRequest = find('processor time of the daemon', 'request');
  const held = find('configuration held');
  const table = find('target table held');
  const signing = find('signing handles');
  return [
    fillRow(streams, {
      role: 'request path',
      what: 'open streams on a VM',
      mechanism: 'balancer; any VM takes any request',
      formula: 'tokens/s × 32 ms ÷ VMs',
      unit: 'streams',
    }),
    fillRow((size) => (streams(size) * memory.slope) / MB_IN_KB, {
      role: 'request path',
      what: 'memory of open streams',
      mechanism: 'bounded mailbox and pulled reading (`run-generation`)',
      formula: `streams × ${memory.slope} KB`,
      unit: 'MB',
    }),
    fillRow(
      (size) =>
        (size.tokensPerSecond * perToken.slope + size.requestsPerSecond * perRequest.slope) /
        size.vms,
      {
        role: 'request path',
        what: 'processor time of relaying',
        mechanism: 'one loop; tokens that arrive together stay together',
        formula: `tokens/s × ${perToken.slope} ms + requests/s × ${perRequest.slope} ms`,
        unit: 'ms/s',
        budget: 1_000,
        remedy: 'Fewer messages a token, or more processes a VM.',
      },
    ),
    fillRow((size) => (size.requestsPerSecond * 1.1 * signing.slope) / size.vms, {
      role: 'request path',
      what: 'signing handles',
      mechanism: 'HMAC over a digest (`resume-handle`)',
      formula: `requests/s × 1.1 × ${signing.slope} ms`,
      unit: 'ms/s',
    }),
    fillRow((size) => valueAt(held, size.organisations) / MB_IN_KB, {
      role: 'holder of the configuration',
      what: 'configuration in memory',
      mechanism: 'one index of resources (`configuration-state`)',
      formula: `organisations × ${held.slope} KB`,
      unit: 'MB',
      budget: CONTROL_BUDGET.memoryMb,
    }),
    fillRow((size) => valueAt(find('applying a change'), size.organisations), {
      role: 'holder of the configuration',
      what: 'one change',
      mechanism: 'a copy of the index',
      formula: `organisations × ${find('applying a change').slope} ms`,
      unit: 'ms',
    }),
    fillRow((size) => valueAt(find('configuration as a snapshot'), size.organisations) / MB_IN_KB, {
      role: 'holder of the configuration',
      what: 'a snapshot, for a new VM or every 96 changes',
      mechanism: 'parts of half a megabyte (`store-configuration`)',
      formula: `organisations × ${find('configuration as a snapshot').slope} KB`,
      unit: 'MB',
    }),
    fillRow((size) => valueAt(table, size.targets) / MB_IN_KB, {
      role: 'router',
      what: 'target table in memory',
      mechanism: 'every VM knows every target',
      formula: `targets × ${table.slope} KB`,
      unit: 'MB',
      budget: CONTROL_BUDGET.memoryMb,
    }),
    fillRow((size) => valueAt(find('choosing a target'), Math.min(size.targets, 64)) / 1_000, {
      role: 'router',
      what: 'choosing a target',
      mechanism: 'at most 64 are looked at (`choose-target`)',
      formula: `64 × ${find('choosing a target').slope} µs`,
      unit: 'ms',
    }),
    fillRow(
      (size) =>
        memory.intercept / MB_IN_KB +
        valueAt(held, size.organisations) / MB_IN_KB +
        valueAt(table, size.targets) / MB_IN_KB,
      {
        role: 'node',
        what: 'memory for control, with the runtime itself',
        mechanism: 'the rows above',
        formula: `${Math.round(memory.intercept / MB_IN_KB)} MB of an idle daemon + configuration + target table`,
        unit: 'MB',
        budget: CONTROL_BUDGET.memoryMb,
        remedy: 'Most of it is the runtime with its libraries; fewer of them loaded at start.',
      },
    ),
  ];
}

/** Every message that flows with no request in flight. */
export function assembleControlRows(slopes: readonly Slope[]): CapacityRow[] {
  const heartbeat = findSlope(slopes, 'heartbeat');
  const coding = findSlope(slopes, 'encoding and decoding a heartbeat');
  const list = findSlope(slopes, 'list of VMs');
  const listTaking = findSlope(slopes, 'taking a changed list');
  const { heartbeatSeconds, listPollSeconds, loadPollSeconds, links } = FLEET_SETTINGS;
  const linksOf = (size: SystemSize): number => Math.min(links, size.vms - 1);
  const demands = (size: SystemSize): number =>
    Math.min(size.organisations, (size.requestsPerSecond / size.vms) * DEMAND_MEMORY_SECONDS);
  const heartbeatKb = (size: SystemSize): number =>
    (valueAt(heartbeat, demands(size)) * linksOf(size) * 2 * KB_PER_BYTE) / heartbeatSeconds;
  const listKb = (size: SystemSize): number =>
    valueAt(list, size.targets + size.vms) / listPollSeconds;
  const reportBytes = JSON.stringify(createReport()).length + POLL_OVERHEAD_BYTES;
  const reportKb = (size: SystemSize): number =>
    (size.targets * reportBytes * KB_PER_BYTE) / loadPollSeconds;
  const changeKb = (size: SystemSize): number =>
    (size.changesPerDay * CHANGE_KB * linksOf(size) * 2) / SECONDS_A_DAY;
  const all = (size: SystemSize): number =>
    heartbeatKb(size) + listKb(size) + reportKb(size) + changeKb(size);
  const budget = CONTROL_BUDGET.kbPerSecond;
  return [
    fillRow(heartbeatKb, {
      role: 'peer',
      what: 'heartbeats, with the demand of organisations',
      mechanism: `ring links, ${links} at the most (\`track-members\`)`,
      formula: `(${heartbeat.intercept} + organisations seen × ${heartbeat.slope} bytes) × links × 2 ÷ 1 s`,
      unit: 'KB/s',
      budget,
      remedy: 'Send demand every 10 s, and only of organisations near their limit.',
    }),
    fillRow(listKb, {
      role: 'reader of the list',
      what: 'the list of VMs',
      mechanism: 'every VM reads the whole list each second',
      formula: `listed VMs × ${list.slope} KB ÷ 1 s`,
      unit: 'KB/s',
      budget,
      remedy: 'A few VMs read it; peers spread what changed, as with the configuration.',
    }),
    fillRow(reportKb, {
      role: 'router',
      what: 'polls of load reports',
      mechanism: 'every VM polls every engine twice a second',
      formula: `targets × ${reportBytes} bytes ÷ 0.5 s`,
      unit: 'KB/s',
      budget,
      remedy: 'Each VM sees a subset of about 60 targets and polls it every 5 s: 8 KB/s.',
    }),
    fillRow(changeKb, {
      role: 'peer',
      what: 'changes of the configuration',
      mechanism: 'deltas to linked peers (`peer-links`)',
      formula: `changes × ${CHANGE_KB} KB × links × 2`,
      unit: 'KB/s',
      budget,
    }),
    fillRow(all, {
      role: 'node',
      what: 'all control traffic',
      mechanism: 'the rows above',
      formula: 'sum',
      unit: 'KB/s',
      budget,
      remedy: 'The three remedies above bring it to about 20 KB/s.',
    }),
    fillRow(
      (size) =>
        (valueAt(coding, demands(size)) * linksOf(size)) / 1_000 / heartbeatSeconds +
        valueAt(listTaking, size.targets + size.vms) / listPollSeconds +
        size.targets * (pollMs(slopes) / loadPollSeconds),
      {
        role: 'node',
        what: 'processor time of control',
        mechanism: 'heartbeats, list, polls',
        formula: `heartbeats + list + targets × ${pollMs(slopes).toPrecision(2)} ms ÷ 0.5 s`,
        unit: 'ms/s',
        budget: CONTROL_BUDGET.cpuMsPerSecond,
        remedy: 'The subsets of the row of polls; the rest fits.',
      },
    ),
  ];
}

/** Calls on the platform's service; a waiting watch counts as one call. */
export function assembleServiceRows(): CapacityRow[] {
  const { ownLookSeconds, watchSeconds, leaseSeconds, watchers, claimBuckets } = FLEET_SETTINGS;
  const role = 'whole fleet';
  return [
    fillRow((size) => size.vms / ownLookSeconds, {
      role,
      what: 'VMs that look by themselves',
      mechanism: 'every 30 s (`watch-configuration`)',
      formula: 'VMs ÷ 30 s',
      unit: 'reads/s',
      budget: SERVICE_BUDGET.readsPerSecond,
    }),
    fillRow(() => watchers / watchSeconds, {
      role,
      what: 'watches of the head',
      mechanism: 'two watchers, chosen by hash (`track-members`)',
      formula: '2 ÷ 5 s',
      unit: 'reads/s',
      budget: SERVICE_BUDGET.readsPerSecond,
    }),
    fillRow(() => watchers / leaseSeconds, {
      role,
      what: 'the placement lease',
      mechanism: 'only the watchers ask for it',
      formula: '2 ÷ 1.5 s',
      unit: 'writes/s',
      budget: SERVICE_BUDGET.writesPerSecond,
    }),
    fillRow((size) => size.changesPerDay / SECONDS_A_DAY, {
      role,
      what: 'changes of the configuration',
      mechanism: 'one compare-and-swap each',
      formula: 'changes a day',
      unit: 'writes/s',
      budget: SERVICE_BUDGET.writesPerSecond,
    }),
    fillRow((size) => size.requestsPerSecond * size.nonRepeatableShare, {
      role,
      what: 'claims of calls, 5% of requests assumed',
      mechanism: `${claimBuckets} buckets, shared writes on one VM (\`claim-call\`)`,
      formula: 'requests/s × 5%; sharing hardly helps when every VM has few',
      unit: 'writes/s',
      budget: SERVICE_BUDGET.writesPerSecond,
      remedy:
        'Send claims to one advisory owner of each bucket: 16 buckets × 5 shared writes a second are 80; or tickets minted by one incarnation, without any write.',
    }),
  ];
}

/** Processor time of one poll, from the idle daemon that polls one engine four times a second. */
function pollMs(slopes: readonly Slope[]): number {
  const idle = findSlope(slopes, 'processor time of an idle daemon (1 engine polled)');
  const POLLS_A_SECOND = 4;
  return idle.slope / POLLS_A_SECOND;
}

/** Works a row out for both sizes. */
export function fillRow(valueOf: (size: SystemSize) => number, text: RowText): CapacityRow {
  const today = valueOf(TODAY);
  const target = valueOf(TARGET);
  const fits = text.budget === undefined ? undefined : target <= text.budget;
  return { ...text, today, target, fits };
}

/** Finds a slope. Throws where it was not measured. */
export function findSlope(slopes: readonly Slope[], name: string, per?: string): Slope {
  const found = slopes.find(
    (slope) => slope.name === name && (per === undefined || slope.per === per),
  );
  if (found === undefined) {
    throw new Error(`expected a measured slope named ${name}`);
  }
  return found;
}
