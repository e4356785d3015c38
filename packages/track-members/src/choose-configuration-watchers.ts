import { hashText, type VmId } from '@limelead/types';

/**
 * Number of VMs that watch the configuration; each watch counts against the service's rate limit.
 */
export const WATCHER_COUNT = 2;

/**
 * Selects the VMs that watch the configuration in the platform's service: the first of the ranking.
 * The loss of one watcher replaces only that watcher.
 */
export default function chooseConfigurationWatchers(
  members: readonly VmId[],
  count: number = WATCHER_COUNT,
): VmId[] {
  return rankVms(members).slice(0, count);
}

/** Ranks the VMs by a hash, so that all VMs get the same order without communication. */
export function rankVms(members: readonly VmId[]): VmId[] {
  return [...new Set(members)]
    .map((id) => ({ id, rank: hashText(`watcher/${id}`) }))
    .sort((a, b) => a.rank - b.rank || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}
