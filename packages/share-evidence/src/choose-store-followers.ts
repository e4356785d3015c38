import type { PeerId } from './types.js';

/**
 * Minimum number of VMs that follow the store, so that any one of them is enough while the others
 * are lost.
 */
export const MIN_FOLLOWERS = 4;

/**
 * Selects the VMs of a large fleet that follow the store for all: the first of each region, so that
 * an isolated region keeps one, and then the first of the ranking.
 * @param regions the ranking of each region; a single one if the fleet has one region
 */
export default function chooseStoreFollowers(
  ranking: readonly PeerId[],
  regions: readonly (readonly PeerId[])[],
): readonly PeerId[] {
  const first = regions.flatMap(([vm]) => vm ?? []);
  const others = ranking.filter((vm) => !first.includes(vm));
  return [...first, ...others.slice(0, Math.max(0, MIN_FOLLOWERS - first.length))];
}
