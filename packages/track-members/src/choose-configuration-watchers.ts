/** Pure decision: which VMs watch the configuration in the platform's service. */
import { hashText, type VmId } from '@limelead/types';

/** VMs that watch at a time; a waiting watch counts against the service's rate. */
export const WATCHER_COUNT = 2;

/** The first of the ranking; the loss of one moves only its own place. */
export default function chooseConfigurationWatchers(
  members: readonly VmId[],
  count: number = WATCHER_COUNT,
): VmId[] {
  return rankVms(members).slice(0, count);
}

/** Ranks the VMs by a hash, so that all come to the same order without asking. */
export function rankVms(members: readonly VmId[]): VmId[] {
  return [...new Set(members)]
    .map((id) => ({ id, rank: hashText(`watcher/${id}`) }))
    .sort((a, b) => a.rank - b.rank || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}
