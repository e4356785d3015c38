import { chooseLinks } from '@limelead/track-members';
import type { PeerId } from './types.js';

/** Size from which a fleet counts as large. In a smaller fleet every VM links to every other. */
export const LARGE_FLEET_VMS = 12;

/**
 * Returns the peers to which a VM opens links for gossip. In a large fleet their number does not
 * grow with the fleet.
 */
export default function chooseGossipPeers(
  self: PeerId,
  members: readonly PeerId[],
): readonly PeerId[] {
  return members.length < LARGE_FLEET_VMS ? members : chooseLinks(self, members);
}
