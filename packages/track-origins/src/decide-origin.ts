/** Decides at which software version a stream goes on. */
import type { Millis, OriginEvidence, OriginLookup } from '@limelead/types';

/** Whose evidence there is. */
export interface OriginCase {
  own: OriginEvidence;
  /** Of the peers that answered. */
  peers: readonly OriginEvidence[];
  /** Whether the store was read since the question; it then names all versions. */
  isConfirmed: boolean;
  /** Whether this VM is linked to most of the VMs that it knows. */
  isLinkedToMost: boolean;
  /** Highest age of knowledge that counts as recent. */
  maxAgeMs: Millis;
}

/**
 * A VM may lag behind the others and know one version where they serve two. Without an origin, a
 * stream goes on only if the store names a single version. While the store does not answer, views
 * count that hold its record: a recent one, or those of half of the peers that answer.
 */
export default function decideOrigin(evidence: OriginCase): OriginLookup {
  const { own, peers } = evidence;
  const all = [own, ...peers];
  const known = all.find(({ softwareVersion }) => softwareVersion !== undefined)?.softwareVersion;
  if (known !== undefined) {
    return { outcome: 'known', softwareVersion: known };
  }
  const [only, ...others] = new Set(
    all.flatMap(({ versions }) => versions.map(({ softwareVersion }) => softwareVersion)),
  );
  return only !== undefined && others.length === 0 && knowsAllVersions(evidence)
    ? { outcome: 'only-version', softwareVersion: only }
    : { outcome: 'unknown' };
}

function knowsAllVersions(evidence: OriginCase): boolean {
  const { own, peers, isConfirmed, isLinkedToMost, maxAgeMs } = evidence;
  const isRecent = ({ completeAgoMs = Infinity }: OriginEvidence): boolean =>
    completeAgoMs <= maxAgeMs;
  const complete = peers.filter(({ completeAgoMs }) => completeAgoMs !== undefined);
  const knowMost = complete.length > 0 && complete.length * 2 >= peers.length && isLinkedToMost;
  return isConfirmed || [own, ...peers].some(isRecent) || knowMost;
}
