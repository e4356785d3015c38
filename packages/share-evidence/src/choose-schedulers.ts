/**
 * Selects the schedulers of a large fleet. A scheduler receives the load of all VMs at its
 * partition of the targets and advises where streams go. It holds soft state only: if that is lost
 * or wrong, streams are only slower. With 90 VMs and 126 engines, 34% of first attempts reached a
 * busy engine, compared with 64% when each VM received the load of 12 peers.
 */
import { hashText } from '@limelead/types';
import type { PeerId } from './types.js';

/**
 * Approximate number of VMs that one scheduler serves. Each has about two streams in five seconds,
 * with one request for advice and three load changes per stream: about 150 messages a second.
 */
const VMS_PER_SCHEDULER = 100;
/** Schedulers of each partition of the targets: the first is asked, the other is a standby. */
const SCHEDULERS_PER_PARTITION = 2;

/** Schedulers by partition of the targets, in order of preference. */
export type SchedulersByPartition = readonly (readonly PeerId[])[];

/**
 * Returns the last VMs of the shared ranking as schedulers. The first ones follow the store, so
 * that losing one of those does not change the schedulers.
 */
export default function chooseSchedulers(ranking: readonly PeerId[]): SchedulersByPartition {
  const partitions = Math.max(1, Math.round(ranking.length / VMS_PER_SCHEDULER));
  const chosen = ranking.slice(-partitions * SCHEDULERS_PER_PARTITION).reverse();
  return Array.from({ length: partitions }, (_, partition) =>
    chosen.filter((_vm, index) => index % partitions === partition),
  );
}

/** Returns the partition of a target id, or of a session's affinity key. */
export function choosePartition(text: string, partitions: number): number {
  return hashText(text) % partitions;
}
