import { hashText, mixHashes } from '@limelead/types';
import type { PeerId } from './types.js';

/**
 * Chooses the VM that grants the permits of a service, by rendezvous hashing. All VMs with the same
 * candidates choose the same VM; undefined without candidates.
 */
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
