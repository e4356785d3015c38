/** Pure decision: to which peers a VM of the HTTP front door opens links. */
import { chooseLinks } from '@limelead/track-members';
import type { PeerId } from './types.js';

/** Fleets up to this size link every VM to every other, so that each knows all load. */
export const FULL_MESH_VMS = 12;

/** Gives the peers; beyond a full mesh their number does not grow with the fleet. */
export default function choosePeers(self: PeerId, members: readonly PeerId[]): readonly PeerId[] {
  return members.length < FULL_MESH_VMS ? members : chooseLinks(self, members);
}
