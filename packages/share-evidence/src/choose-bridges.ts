/**
 * Pure decision: which VMs carry news between regions. Within a region VMs gossip as in
 * a fleet of its own; between two regions a few pairs of VMs do, so that the bytes there
 * do not grow with the fleet.
 */
import type { PeerId } from './types.js';

/** Links between two regions: one is enough; all carry news, so that losing two changes nothing. */
const BRIDGES = 3;
/** The first of a region's ranking follows the store; its loss should take no bridge as well. */
const FIRST_BRIDGE = 1;

/**
 * Gives the peers in other regions with which a VM shares gossip.
 * @param own the ranking of its region that all VMs share
 * @param others the rankings of the other regions
 */
export default function chooseBridges(
  self: PeerId,
  own: readonly PeerId[],
  others: readonly (readonly PeerId[])[],
): PeerId[] {
  const place = listBridgeheads(own).indexOf(self);
  if (place < 0) {
    return [];
  }
  return others.flatMap((ranking) => {
    const bridgeheads = listBridgeheads(ranking);
    return bridgeheads[place % bridgeheads.length] ?? [];
  });
}

/** A region of few VMs uses those that it has. */
function listBridgeheads(ranking: readonly PeerId[]): readonly PeerId[] {
  const count = Math.min(BRIDGES, ranking.length);
  return [...ranking.slice(FIRST_BRIDGE), ...ranking.slice(0, FIRST_BRIDGE)].slice(0, count);
}
