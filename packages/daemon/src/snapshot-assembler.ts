/** Puts the parts of a configuration together that a peer sends. */
import {
  buildConfiguration,
  type Configuration,
  type Removal,
} from '@limelead/configuration-state';
import type { PeerMessageOf } from '@limelead/peer-links';
import type { VersionedResource, VmId } from '@limelead/types';

interface Assembly {
  revision: number;
  nextPart: number;
  resources: VersionedResource[];
  removals: Removal[];
}

/** Assembles one snapshot for each peer at a time. */
export default class SnapshotAssembler {
  private readonly assemblies = new Map<VmId, Assembly>();

  /** Takes a part; gives the configuration with the last one. Parts come in order on a link. */
  addPart(peer: VmId, message: PeerMessageOf<'snapshot'>): Configuration | undefined {
    const { revision, part, parts } = message;
    const open = part === 0 ? createAssembly(revision) : this.assemblies.get(peer);
    if (open === undefined || open.revision !== revision || open.nextPart !== part) {
      this.assemblies.delete(peer);
      return undefined;
    }
    open.resources.push(...message.resources);
    open.removals.push(...message.removals);
    open.nextPart += 1;
    this.assemblies.set(peer, open);
    if (open.nextPart < parts) {
      return undefined;
    }
    this.assemblies.delete(peer);
    return buildConfiguration(revision, open.resources, open.removals);
  }

  /** Forgets what a peer has begun to send. */
  discard(peer: VmId): void {
    this.assemblies.delete(peer);
  }
}

function createAssembly(revision: number): Assembly {
  return { revision, nextPart: 0, resources: [], removals: [] };
}
