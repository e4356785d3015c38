/** Decides at which software version a stream goes on. */
import type { OriginEvidence, OriginLookup } from '@limelead/types';

/** Whose evidence there is. */
export interface OriginCase {
  own: OriginEvidence;
  /** Of the peers that answered. */
  peers: readonly OriginEvidence[];
  /** Whether this VM is linked to most of the VMs that it knows. */
  isLinkedToMost: boolean;
}

/**
 * A VM may lag behind the others and know one version where they serve two. Without an origin, a
 * stream goes on only if a recent list of targets, or most of the VMs, know of no other version.
 */
export default function decideOrigin({ own, peers, isLinkedToMost }: OriginCase): OriginLookup {
  const all = [own, ...peers];
  const known = all.find(({ softwareVersion }) => softwareVersion !== undefined)?.softwareVersion;
  if (known !== undefined) {
    return { outcome: 'known', softwareVersion: known };
  }
  const [only, ...others] = new Set(
    all.flatMap(({ versions }) => versions.map(({ softwareVersion }) => softwareVersion)),
  );
  const isCertain = all.some(({ isFresh }) => isFresh) || (peers.length > 0 && isLinkedToMost);
  return only !== undefined && others.length === 0 && isCertain
    ? { outcome: 'only-version', softwareVersion: only }
    : { outcome: 'unknown' };
}
