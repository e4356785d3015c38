/**
 * Rows of the HTTP front door. Its figures come from played days, not from slopes:
 * wcfs-route-large trouble-1 (journal entry e059878e), 195 VMs before 161 targets,
 * requests, a loss of all VMs and both starts included, a VM and second of its life.
 * With links bounded, what a VM says to its peers does not grow with the fleet.
 */
import { fillRow, findSlope, type CapacityRow } from './rows.js';
import { CONTROL_BUDGET, MB_IN_KB, SERVICE_BUDGET } from './sizes.js';
import type { Slope } from './slope.js';

const PLAYED = {
  targets: 161,
  memoryMb: 35.0,
  cpuMsPerSecond: 36.1,
  kbPerSecondBetweenDomains: 6.5,
  storeCallsPerSecond: 0.069,
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
      formula: '35.0 MB + (targets − 161) × 1.244 KB',
      unit: 'MB',
      budget: CONTROL_BUDGET.memoryMb,
    }),
    fillRow(() => PLAYED.kbPerSecondBetweenDomains, {
      role: ROLE,
      what: 'bytes between failure domains, requests included',
      mechanism: '12 links a VM, members of eight bytes, losses told together (`share-evidence`)',
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
      mechanism: 'four VMs follow it for all, each VM lists it once (`follow-store`)',
      formula: 'VMs × 0.069',
      unit: 'reads/s',
      budget: SERVICE_BUDGET.readsPerSecond,
    }),
  ];
}
