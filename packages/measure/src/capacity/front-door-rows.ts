/**
 * Rows of the HTTP front door. Its figures come from played days, not from slopes:
 * journal entry 807d57a7, 88 VMs before 280 targets, requests included. With links
 * bounded, what a VM says to its peers does not grow with the fleet.
 */
import { fillRow, findSlope, type CapacityRow } from './rows.js';
import { CONTROL_BUDGET, MB_IN_KB, SERVICE_BUDGET } from './sizes.js';
import type { Slope } from './slope.js';

const PLAYED = {
  targets: 280,
  memoryMb: 59.8,
  cpuMsPerSecond: 45.8,
  kbPerSecondBetweenDomains: 14.3,
  storeCallsPerSecond: 0.942,
} as const;

const ROLE = 'front door VM';

/** Rows of one VM, and its part of the platform's service. */
export default function assembleFrontDoorRows(slopes: readonly Slope[]): CapacityRow[] {
  const targetKb = findSlope(slopes, 'target table held').slope;
  return [
    fillRow((size) => PLAYED.memoryMb + ((size.targets - PLAYED.targets) * targetKb) / MB_IN_KB, {
      role: ROLE,
      what: 'memory at its peak',
      mechanism: 'bounded bodies and logs; one entry a target (`track-service-targets`)',
      formula: '59.8 MB + (targets − 280) × 1.244 KB',
      unit: 'MB',
      budget: CONTROL_BUDGET.memoryMb,
    }),
    fillRow(() => PLAYED.kbPerSecondBetweenDomains, {
      role: ROLE,
      what: 'bytes between failure domains, requests included',
      mechanism: 'at most 12 links a VM, losses told together (`share-evidence`)',
      formula: 'as played',
      unit: 'KB/s',
      budget: CONTROL_BUDGET.kbPerSecond,
    }),
    fillRow(() => PLAYED.cpuMsPerSecond, {
      role: ROLE,
      what: 'processor time, requests included',
      mechanism: 'one loop; choices look at each target of a service once',
      formula: 'as played; the part for control was not told apart',
      unit: 'ms/s',
    }),
    fillRow((size) => size.vms * PLAYED.storeCallsPerSecond, {
      role: 'front door fleet',
      what: 'lists and watches of the store',
      mechanism: 'changes gather up to 0.8 s (`follow-store`)',
      formula: 'VMs × 0.942',
      unit: 'reads/s',
      budget: SERVICE_BUDGET.readsPerSecond,
    }),
  ];
}
