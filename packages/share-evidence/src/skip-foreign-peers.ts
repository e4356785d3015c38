import type { PeerLinks } from '@limelead/peer-links';
import type PeerStoreVerifier from './peer-store-verifier.js';

/** Prevents links to VMs that follow another store, even if they are seeds or listed as members. */
export default function skipForeignPeers<Message>(
  links: PeerLinks<Message>,
  verifier: Pick<PeerStoreVerifier, 'isKnownForeign'>,
): PeerLinks<Message> {
  return {
    ...links,
    open: (peers) => links.open(peers.filter(({ id }) => !verifier.isKnownForeign(id))),
  };
}
