import { hashText, mixHashes } from '@limelead/types';
import type { PeerId } from './types.js';

/** VMs that are told of a stream, so that any two of them may be lost. */
const HOLDERS = 3;

/** Chooses the VMs that are told which version began a stream, the same ones at every VM. */
export default function chooseOriginHolders(
  streamId: string,
  candidates: readonly PeerId[],
): readonly PeerId[] {
  const streamHash = hashText(streamId);
  const rank = (peer: PeerId): number => mixHashes(streamHash, hashText(peer));
  return [...candidates].sort((a, b) => rank(b) - rank(a)).slice(0, HOLDERS);
}
