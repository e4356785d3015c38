/** Pure decision: which VM grants the permits of a service for all (rendezvous hashing). */
import { hashText, mixHashes } from '@limelead/types';
import type { PeerId } from './types.js';

/** Takes the VM that all VMs with the same candidates take; undefined without any. */
export default function chooseGrantor(
  service: string,
  candidates: readonly PeerId[],
): PeerId | undefined {
  const serviceHash = hashText(service);
  let best: PeerId | undefined;
  let bestHash = -1;
  for (const candidate of candidates) {
    const hash = mixHashes(serviceHash, hashText(candidate));
    if (hash > bestHash) {
      best = candidate;
      bestHash = hash;
    }
  }
  return best;
}
