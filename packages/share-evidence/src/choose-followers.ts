/** Pure decision: which VMs of a large fleet follow the store for all. */
import type { PeerId } from './types.js';

/**
 * VMs that follow the store, at least. Several, so that all but one may be stopped, cut
 * off or killed at once before the others have to ask themselves.
 */
export const LEAST_FOLLOWERS = 4;

/**
 * Takes the first of each region, so that a region that loses the others still hears of
 * the store, and fills up from the ranking.
 * @param regions the ranking of each region; one where the fleet is in one
 */
export default function chooseFollowers(
  ranking: readonly PeerId[],
  regions: readonly (readonly PeerId[])[],
): readonly PeerId[] {
  const first = regions.flatMap(([vm]) => vm ?? []);
  const others = ranking.filter((vm) => !first.includes(vm));
  return [...first, ...others.slice(0, Math.max(0, LEAST_FOLLOWERS - first.length))];
}
