/** Chooses the VM to which a request is relayed. */
import type { Random } from '@limelead/types';

/** A VM that may take a request. */
export interface HelperCandidate {
  id: string;
  /** Requests that this VM has open there. */
  openRequests: number;
}

/** Chooses a VM with the fewest open requests, at random among equals; undefined without any. */
export default function chooseHelper(
  candidates: readonly HelperCandidate[],
  random: Random,
): HelperCandidate | undefined {
  const fewest = Math.min(...candidates.map(({ openRequests }) => openRequests));
  const best = candidates.filter(({ openRequests }) => openRequests === fewest);
  return best[Math.floor(random.next() * best.length)];
}
