/**
 * Capacity rows of the HTTP front door, extrapolated from a sweep over fleet sizes: 30, 100 and 300
 * VMs with 300, 999 and 3,000 targets (journal entry 0c573e23). The figures are those of the middle
 * VM and of the busiest, and include the requests.
 */
import { createCapacityRow, type CapacityRow } from './rows.js';
import { CONTROL_BUDGET, SERVICE_BUDGET, type SystemSize } from './sizes.js';

/** A value at the two largest fleet sizes of the sweep. */
interface SweepValues {
  at100: number;
  at300: number;
}

const SWEEP = {
  middle: {
    memoryMb: { at100: 24.9, at300: 28.7 },
    kbPerSecond: { at100: 47.4, at300: 94.8 },
    cpuMsPerSecond: { at100: 63, at300: 76 },
  },
  busiest: {
    memoryMb: { at100: 32.7, at300: 83.1 },
    kbPerSecond: { at100: 220, at300: 2_939 },
    cpuMsPerSecond: { at100: 150, at300: 240 },
  },
} as const;

/** Lists and watches of the store, measured with 195 VMs (journal entry e059878e). */
const STORE_CALLS_PER_VM_SECOND = 0.069;
/** Fleet sizes of the sweep, in VMs. */
const SWEEP_VMS = { small: 100, large: 300 } as const;

/** Returns the rows of one front door VM and of the fleet's calls to the store. */
export default function assembleFrontDoorRows(): CapacityRow[] {
  return [
    ...assembleVmRows('front door VM, middle', SWEEP.middle),
    ...assembleVmRows('front door VM, busiest', SWEEP.busiest),
    createCapacityRow((size) => size.vms * STORE_CALLS_PER_VM_SECOND, {
      role: 'front door fleet',
      quantity: 'lists and watches of the store',
      mechanism: 'four VMs follow it for all, each VM lists it once (`follow-store`)',
      formula: 'VMs × 0.069',
      unit: 'reads/s',
      budget: SERVICE_BUDGET.readsPerSecond,
    }),
  ];
}

function assembleVmRows(
  role: string,
  values: Record<'memoryMb' | 'kbPerSecond' | 'cpuMsPerSecond', SweepValues>,
): CapacityRow[] {
  return [
    createCapacityRow(extrapolate(values.memoryMb), {
      role,
      quantity: 'memory at its peak',
      mechanism: 'bounded bodies and logs; one entry a target (`track-service-targets`)',
      formula: describeGrowth(values.memoryMb, 'MB'),
      unit: 'MB',
      budget: CONTROL_BUDGET.memoryMb,
    }),
    createCapacityRow(extrapolate(values.kbPerSecond), {
      role,
      quantity: 'bytes, requests included',
      mechanism: '12 links for gossip, load to schedulers (`share-evidence`)',
      formula: describeGrowth(values.kbPerSecond, 'KB/s'),
      unit: 'KB/s',
      budget: CONTROL_BUDGET.kbPerSecond,
      remedy:
        'Measured while each VM that lacked something of the store got the keys of all its items; it is told what went now, and this has to be swept again.',
    }),
    createCapacityRow(extrapolate(values.cpuMsPerSecond), {
      role,
      quantity: 'processor time, requests included',
      mechanism: 'one loop; choices look at each target of a service once',
      formula: describeGrowth(values.cpuMsPerSecond, 'ms/s'),
      unit: 'ms/s',
    }),
  ];
}

/** Extrapolates a value by the power law between the two sizes of the sweep. */
function extrapolate(values: SweepValues): (size: SystemSize) => number {
  return ({ vms }) => values.at300 * (vms / SWEEP_VMS.large) ** growthExponentOf(values);
}

function growthExponentOf({ at100, at300 }: SweepValues): number {
  return Math.log(at300 / at100) / Math.log(SWEEP_VMS.large / SWEEP_VMS.small);
}

function describeGrowth(values: SweepValues, unit: string): string {
  return `${values.at300} ${unit} × (VMs ÷ ${SWEEP_VMS.large})^${growthExponentOf(values).toFixed(2)}`;
}
