/** Assembles a configuration from the snapshot parts that a peer sends. */
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

/** Assembles at most one snapshot per peer at a time. */
export default class SnapshotAssembler {
  private readonly assemblies = new Map<VmId, Assembly>();

  /**
   * Adds a part; returns the configuration once the last part is added. A part
   * out of order discards the assembly, because links deliver parts in order.
   */
  addPart(peer: VmId, message: PeerMessageOf<'snapshot'>): Configuration | undefined {
    const { revision, part, parts } = message;
    const assembly = part === 0 ? createAssembly(revision) : this.assemblies.get(peer);
    if (assembly === undefined || assembly.revision !== revision || assembly.nextPart !== part) {
      this.assemblies.delete(peer);
      return undefined;
    }
    assembly.resources.push(...message.resources);
    assembly.removals.push(...message.removals);
    assembly.nextPart += 1;
    this.assemblies.set(peer, assembly);
    if (assembly.nextPart < parts) {
      return undefined;
    }
    this.assemblies.delete(peer);
    return buildConfiguration(revision, assembly.resources, assembly.removals);
  }

  /** Discards the incomplete snapshot of a peer. */
  discard(peer: VmId): void {
    this.assemblies.delete(peer);
  }
}

function createAssembly(revision: number): Assembly {
  return { revision, nextPart: 0, resources: [], removals: [] };
}
