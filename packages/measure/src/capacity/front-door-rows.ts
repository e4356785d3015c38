/**
 * Rows of the HTTP front door, from a sweep: one day played with 30, 100 and 300 VMs
 * before 300, 999 and 3,000 targets (journal entry 0c573e23). Requests and everything
 * beside them are in the figures, which are those of the middle VM and of the busiest.
 * Lists and watches of the store are of wcfs-route-large trouble-1 (e059878e), 195 VMs.
 */
import { createCapacityRow, type CapacityRow } from './rows.js';
import { CONTROL_BUDGET, SERVICE_BUDGET, type SystemSize } from './sizes.js';

/** A figure at the two largest sizes of the sweep. */
interface SweptFigure {
  at100: number;
  at300: number;
}

const SWEPT = {
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

/** Calls to the store of one VM, a second, as played. */
const STORE_CALLS_PER_SECOND = 0.069;
const SIZES = { small: 100, large: 300 } as const;

/** Rows of one VM, and its part of the platform's service. */
export default function assembleFrontDoorRows(): CapacityRow[] {
  return [
    ...assembleVmRows('front door VM, middle', SWEPT.middle),
    ...assembleVmRows('front door VM, busiest', SWEPT.busiest),
    createCapacityRow((size) => size.vms * STORE_CALLS_PER_SECOND, {
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
  swept: Record<'memoryMb' | 'kbPerSecond' | 'cpuMsPerSecond', SweptFigure>,
): CapacityRow[] {
  return [
    createCapacityRow(growAsSwept(swept.memoryMb), {
      role,
      quantity: 'memory at its peak',
      mechanism: 'bounded bodies and logs; one entry a target (`track-service-targets`)',
      formula: describeGrowth(swept.memoryMb, 'MB'),
      unit: 'MB',
      budget: CONTROL_BUDGET.memoryMb,
    }),
    createCapacityRow(growAsSwept(swept.kbPerSecond), {
      role,
      quantity: 'bytes, requests included',
      mechanism: '12 links for gossip, load to schedulers (`share-evidence`)',
      formula: describeGrowth(swept.kbPerSecond, 'KB/s'),
      unit: 'KB/s',
      budget: CONTROL_BUDGET.kbPerSecond,
      remedy:
        'Measured while each VM that lacked something of the store got the keys of all its items; it is told what went now, and this has to be swept again.',
    }),
    createCapacityRow(growAsSwept(swept.cpuMsPerSecond), {
      role,
      quantity: 'processor time, requests included',
      mechanism: 'one loop; choices look at each target of a service once',
      formula: describeGrowth(swept.cpuMsPerSecond, 'ms/s'),
      unit: 'ms/s',
    }),
  ];
}

/** Carries a figure on by the power by which it grew between the two sizes. */
function growAsSwept(figure: SweptFigure): (size: SystemSize) => number {
  return ({ vms }) => figure.at300 * (vms / SIZES.large) ** powerOf(figure);
}

function powerOf({ at100, at300 }: SweptFigure): number {
  return Math.log(at300 / at100) / Math.log(SIZES.large / SIZES.small);
}

function describeGrowth(figure: SweptFigure, unit: string): string {
  return `${figure.at300} ${unit} × (VMs ÷ ${SIZES.large})^${powerOf(figure).toFixed(2)}`;
}
