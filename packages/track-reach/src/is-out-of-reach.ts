/** Decides from failed connections whether this VM reaches no target of a service. */

/** Failed targets from which a service counts as out of reach, if it has that many. */
const MIN_FAILED_TARGETS = 3;
/** Failure domains that must be among them, so that the loss of one domain is told apart. */
const MIN_FAILED_DOMAINS = 2;

/** A target and its location. */
export interface LocatedTarget {
  id: string;
  failureDomain: string;
}

/** Connections of this VM to one service. */
export interface ConnectEvidence {
  /** Targets that accept requests. */
  usable: readonly LocatedTarget[];
  /** Those of them that failed to connect recently, since any target of the service last did. */
  failed: readonly LocatedTarget[];
  /** Whether another service is out of reach since this one last connected; then one failed target suffices. */
  isOtherServiceOutOfReach: boolean;
}

/** Returns whether the service is out of reach. */
export default function isOutOfReach(evidence: ConnectEvidence): boolean {
  const { usable, failed, isOtherServiceOutOfReach } = evidence;
  if (failed.length === 0) {
    return false;
  }
  const minTargets = Math.min(MIN_FAILED_TARGETS, usable.length);
  const minDomains = Math.min(MIN_FAILED_DOMAINS, countDomains(usable));
  const failedWidely = failed.length >= minTargets && countDomains(failed) >= minDomains;
  return isOtherServiceOutOfReach || failedWidely;
}

function countDomains(targets: readonly LocatedTarget[]): number {
  return new Set(targets.map(({ failureDomain }) => failureDomain)).size;
}
