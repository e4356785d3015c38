/**
 * Selects the VMs that exchange gossip with other regions. A few pairs of VMs link each two
 * regions, so that the traffic between regions does not grow with the fleet.
 */
import type { PeerId } from './types.js';

/**
 * VMs of a region that link to each other region. One link carries all gossip; the others are
 * spares.
 */
const MAX_BRIDGE_VMS = 3;
/**
 * Rank of the first bridge. The VM before it follows the store, so that losing one VM takes only
 * one of the two roles.
 */
const FIRST_BRIDGE_RANK = 1;

/**
 * Returns the peers in other regions with which a VM shares gossip.
 * @param own the ranking of its own region, which all VMs share
 * @param others the rankings of the other regions
 */
export default function chooseBridges(
  self: PeerId,
  own: readonly PeerId[],
  others: readonly (readonly PeerId[])[],
): PeerId[] {
  const position = listBridgeVms(own).indexOf(self);
  if (position < 0) {
    return [];
  }
  return others.flatMap((ranking) => {
    const bridgeVms = listBridgeVms(ranking);
    return bridgeVms[position % bridgeVms.length] ?? [];
  });
}

/** Uses all VMs of a region that has fewer than the usual number of bridges. */
function listBridgeVms(ranking: readonly PeerId[]): readonly PeerId[] {
  const count = Math.min(MAX_BRIDGE_VMS, ranking.length);
  return [...ranking.slice(FIRST_BRIDGE_RANK), ...ranking.slice(0, FIRST_BRIDGE_RANK)].slice(
    0,
    count,
  );
}
