/** Computes the rows of docs/CAPACITY.md from slopes and sizes. */
import { createReport } from './measure-slopes.js';
import {
  CONTROL_BUDGET,
  FLEET_SETTINGS,
  KB_PER_MB,
  POLL_OVERHEAD_BYTES,
  SERVICE_BUDGET,
  TARGET_SIZE,
  CURRENT_SIZE,
  TOKEN_GAP_SECONDS,
  type SystemSize,
} from './sizes.js';
import { evaluateSlope, type Slope } from './slope.js';

/** One row: a quantity at both sizes, compared with its budget. */
export interface CapacityRow {
  role: string;
  quantity: string;
  mechanism: string;
  formula: string;
  unit: string;
  valueAtCurrentSize: number;
  valueAtTargetSize: number;
  budget?: number;
  /** Whether the target size fits the budget; undefined without a budget. */
  isWithinBudget?: boolean;
  /** Change that would bring the value within the budget. */
  remedy?: string;
}

type RowInput = Omit<CapacityRow, 'valueAtCurrentSize' | 'valueAtTargetSize' | 'isWithinBudget'>;

/** Time after which an organisation's demand is no longer in the heartbeats. */
const DEMAND_TTL_SECONDS = 13;
const SECONDS_PER_DAY = 86_400;
const KB_PER_CHANGE = 0.5;
const KB_PER_BYTE = 1 / 1_024;

/** Returns the memory and CPU time of each role. */
export function assembleRoleRows(slopes: readonly Slope[]): CapacityRow[] {
  const find = (name: string, per?: string): Slope => findSlope(slopes, name, per);
  const streamsPerVm = (size: SystemSize): number =>
    (size.tokensPerSecond * TOKEN_GAP_SECONDS) / size.vms;
  const memory = find('resident memory of the daemon');
  const perToken = find('processor time of the daemon', 'token');
  const perRequest = find('processor time of the daemon', 'request');
  const configuration = find('configuration held');
  const targetTable = find('target table held');
  const signing = find('signing handles');
  return [
    createCapacityRow(streamsPerVm, {
      role: 'request path',
      quantity: 'open streams on a VM',
      mechanism: 'balancer; any VM takes any request',
      formula: 'tokens/s × 32 ms ÷ VMs',
      unit: 'streams',
    }),
    createCapacityRow((size) => (streamsPerVm(size) * memory.slope) / KB_PER_MB, {
      role: 'request path',
      quantity: 'memory of open streams',
      mechanism: 'bounded mailbox and pulled reading (`run-generation`)',
      formula: `streams × ${memory.slope} KB`,
      unit: 'MB',
    }),
    createCapacityRow(
      (size) =>
        (size.tokensPerSecond * perToken.slope + size.requestsPerSecond * perRequest.slope) /
        size.vms,
      {
        role: 'request path',
        quantity: 'processor time of relaying',
        mechanism: 'one loop; tokens that arrive together stay together',
        formula: `tokens/s × ${perToken.slope} ms + requests/s × ${perRequest.slope} ms`,
        unit: 'ms/s',
        budget: 1_000,
        remedy: 'Fewer messages a token, or more processes a VM.',
      },
    ),
    createCapacityRow((size) => (size.requestsPerSecond * 1.1 * signing.slope) / size.vms, {
      role: 'request path',
      quantity: 'signing handles',
      mechanism: 'HMAC over a digest (`resume-handle`)',
      formula: `requests/s × 1.1 × ${signing.slope} ms`,
      unit: 'ms/s',
    }),
    createCapacityRow((size) => evaluateSlope(configuration, size.organisations) / KB_PER_MB, {
      role: 'holder of the configuration',
      quantity: 'configuration in memory',
      mechanism: 'one index of resources (`configuration-state`)',
      formula: `organisations × ${configuration.slope} KB`,
      unit: 'MB',
      budget: CONTROL_BUDGET.memoryMb,
    }),
    createCapacityRow((size) => evaluateSlope(find('applying a change'), size.organisations), {
      role: 'holder of the configuration',
      quantity: 'one change',
      mechanism: 'a copy of the index',
      formula: `organisations × ${find('applying a change').slope} ms`,
      unit: 'ms',
    }),
    createCapacityRow(
      (size) => evaluateSlope(find('configuration as a snapshot'), size.organisations) / KB_PER_MB,
      {
        role: 'holder of the configuration',
        quantity: 'a snapshot, for a new VM or every 96 changes',
        mechanism: 'parts of half a megabyte (`store-configuration`)',
        formula: `organisations × ${find('configuration as a snapshot').slope} KB`,
        unit: 'MB',
      },
    ),
    createCapacityRow((size) => evaluateSlope(targetTable, size.targets) / KB_PER_MB, {
      role: 'router',
      quantity: 'target table in memory',
      mechanism: 'every VM knows every target',
      formula: `targets × ${targetTable.slope} KB`,
      unit: 'MB',
      budget: CONTROL_BUDGET.memoryMb,
    }),
    createCapacityRow(
      (size) => evaluateSlope(find('choosing a target'), Math.min(size.targets, 64)) / 1_000,
      {
        role: 'router',
        quantity: 'choosing a target',
        mechanism: 'at most 64 are looked at (`choose-target`)',
        formula: `64 × ${find('choosing a target').slope} µs`,
        unit: 'ms',
      },
    ),
    createCapacityRow(
      (size) =>
        memory.intercept / KB_PER_MB +
        evaluateSlope(configuration, size.organisations) / KB_PER_MB +
        evaluateSlope(targetTable, size.targets) / KB_PER_MB,
      {
        role: 'node',
        quantity: 'memory for control, with the runtime itself',
        mechanism: 'the rows above',
        formula: `${Math.round(memory.intercept / KB_PER_MB)} MB of an idle daemon + configuration + target table`,
        unit: 'MB',
        budget: CONTROL_BUDGET.memoryMb,
        remedy: 'Most of it is the runtime with its libraries; fewer of them loaded at start.',
      },
    ),
  ];
}

/** Returns the control traffic without requests in flight. */
export function assembleControlRows(slopes: readonly Slope[]): CapacityRow[] {
  const heartbeat = findSlope(slopes, 'heartbeat');
  const heartbeatCodec = findSlope(slopes, 'encoding and decoding a heartbeat');
  const list = findSlope(slopes, 'list of VMs');
  const listUpdate = findSlope(slopes, 'taking a changed list');
  const { heartbeatSeconds, listPollSeconds, loadPollSeconds, links } = FLEET_SETTINGS;
  const linkCount = (size: SystemSize): number => Math.min(links, size.vms - 1);
  const demandCount = (size: SystemSize): number =>
    Math.min(size.organisations, (size.requestsPerSecond / size.vms) * DEMAND_TTL_SECONDS);
  const heartbeatKb = (size: SystemSize): number =>
    (evaluateSlope(heartbeat, demandCount(size)) * linkCount(size) * 2 * KB_PER_BYTE) /
    heartbeatSeconds;
  const listKb = (size: SystemSize): number =>
    evaluateSlope(list, size.targets + size.vms) / listPollSeconds;
  const reportBytes = JSON.stringify(createReport()).length + POLL_OVERHEAD_BYTES;
  const reportKb = (size: SystemSize): number =>
    (size.targets * reportBytes * KB_PER_BYTE) / loadPollSeconds;
  const changeKb = (size: SystemSize): number =>
    (size.changesPerDay * KB_PER_CHANGE * linkCount(size) * 2) / SECONDS_PER_DAY;
  const totalKb = (size: SystemSize): number =>
    heartbeatKb(size) + listKb(size) + reportKb(size) + changeKb(size);
  const budget = CONTROL_BUDGET.kbPerSecond;
  return [
    createCapacityRow(heartbeatKb, {
      role: 'peer',
      quantity: 'heartbeats, with the demand of organisations',
      mechanism: `ring links, ${links} at the most (\`track-members\`)`,
      formula: `(${heartbeat.intercept} + organisations seen × ${heartbeat.slope} bytes) × links × 2 ÷ 1 s`,
      unit: 'KB/s',
      budget,
      remedy: 'Send demand every 10 s, and only of organisations near their limit.',
    }),
    createCapacityRow(listKb, {
      role: 'reader of the list',
      quantity: 'the list of VMs',
      mechanism: 'every VM reads the whole list each second',
      formula: `listed VMs × ${list.slope} KB ÷ 1 s`,
      unit: 'KB/s',
      budget,
      remedy: 'A few VMs read it; peers spread what changed, as with the configuration.',
    }),
    createCapacityRow(reportKb, {
      role: 'router',
      quantity: 'polls of load reports',
      mechanism: 'every VM polls every engine twice a second',
      formula: `targets × ${reportBytes} bytes ÷ 0.5 s`,
      unit: 'KB/s',
      budget,
      remedy: 'Each VM sees a subset of about 60 targets and polls it every 5 s: 8 KB/s.',
    }),
    createCapacityRow(changeKb, {
      role: 'peer',
      quantity: 'changes of the configuration',
      mechanism: 'deltas to linked peers (`peer-links`)',
      formula: `changes × ${KB_PER_CHANGE} KB × links × 2`,
      unit: 'KB/s',
      budget,
    }),
    createCapacityRow(totalKb, {
      role: 'node',
      quantity: 'all control traffic',
      mechanism: 'the rows above',
      formula: 'sum',
      unit: 'KB/s',
      budget,
      remedy: 'The three remedies above bring it to about 20 KB/s.',
    }),
    createCapacityRow(
      (size) =>
        (evaluateSlope(heartbeatCodec, demandCount(size)) * linkCount(size)) /
          1_000 /
          heartbeatSeconds +
        evaluateSlope(listUpdate, size.targets + size.vms) / listPollSeconds +
        size.targets * (cpuMsPerPoll(slopes) / loadPollSeconds),
      {
        role: 'node',
        quantity: 'processor time of control',
        mechanism: 'heartbeats, list, polls',
        formula: `heartbeats + list + targets × ${cpuMsPerPoll(slopes).toPrecision(2)} ms ÷ 0.5 s`,
        unit: 'ms/s',
        budget: CONTROL_BUDGET.cpuMsPerSecond,
        remedy: 'The subsets of the row of polls; the rest fits.',
      },
    ),
  ];
}

/** Returns the calls to the platform's service; a waiting watch counts as one call. */
export function assembleServiceRows(): CapacityRow[] {
  const { configurationPollSeconds, watchSeconds, leaseSeconds, watchers, claimBuckets } =
    FLEET_SETTINGS;
  const role = 'whole fleet';
  return [
    createCapacityRow((size) => size.vms / configurationPollSeconds, {
      role,
      quantity: 'VMs that look by themselves',
      mechanism: 'every 30 s (`watch-configuration`)',
      formula: 'VMs ÷ 30 s',
      unit: 'reads/s',
      budget: SERVICE_BUDGET.readsPerSecond,
    }),
    createCapacityRow(() => watchers / watchSeconds, {
      role,
      quantity: 'watches of the head',
      mechanism: 'two watchers, chosen by hash (`track-members`)',
      formula: '2 ÷ 5 s',
      unit: 'reads/s',
      budget: SERVICE_BUDGET.readsPerSecond,
    }),
    createCapacityRow(() => watchers / leaseSeconds, {
      role,
      quantity: 'the placement lease',
      mechanism: 'only the watchers ask for it',
      formula: '2 ÷ 1.5 s',
      unit: 'writes/s',
      budget: SERVICE_BUDGET.writesPerSecond,
    }),
    createCapacityRow((size) => size.changesPerDay / SECONDS_PER_DAY, {
      role,
      quantity: 'changes of the configuration',
      mechanism: 'one compare-and-swap each',
      formula: 'changes a day',
      unit: 'writes/s',
      budget: SERVICE_BUDGET.writesPerSecond,
    }),
    createCapacityRow((size) => size.requestsPerSecond * size.nonRepeatableCallShare, {
      role,
      quantity: 'claims of calls, 5% of requests assumed',
      mechanism: `${claimBuckets} buckets, shared writes on one VM (\`claim-call\`)`,
      formula: 'requests/s × 5%; sharing hardly helps when every VM has few',
      unit: 'writes/s',
      budget: SERVICE_BUDGET.writesPerSecond,
      remedy:
        'Send claims to one advisory owner of each bucket: 16 buckets × 5 shared writes a second are 80; or tickets minted by one incarnation, without any write.',
    }),
  ];
}

/** Returns the CPU time of one poll, from an idle daemon that polls a single engine. */
function cpuMsPerPoll(slopes: readonly Slope[]): number {
  const idle = findSlope(slopes, 'processor time of an idle daemon (1 engine polled)');
  const POLLS_PER_SECOND = 4;
  return idle.slope / POLLS_PER_SECOND;
}

/** Creates a row with its values at both sizes. */
export function createCapacityRow(
  valueOf: (size: SystemSize) => number,
  input: RowInput,
): CapacityRow {
  const valueAtCurrentSize = valueOf(CURRENT_SIZE);
  const valueAtTargetSize = valueOf(TARGET_SIZE);
  const isWithinBudget = input.budget === undefined ? undefined : valueAtTargetSize <= input.budget;
  return { ...input, valueAtCurrentSize, valueAtTargetSize, isWithinBudget };
}

/** Finds a slope by name and unit of size; throws if it is missing. */
export function findSlope(slopes: readonly Slope[], name: string, per?: string): Slope {
  const found = slopes.find(
    (slope) => slope.name === name && (per === undefined || slope.per === per),
  );
  if (found === undefined) {
    throw new Error(`slope "${name}" is missing`);
  }
  return found;
}
