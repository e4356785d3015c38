/** Pure decision: which part of an organisation's limit one VM may hand out. */

/** Requests a second that one VM sees of one organisation. */
export interface PeerDemand {
  vm: string;
  requestsPerSecond: number;
}

/** Part of an equal share that a VM keeps however little it sees, so that a first request is admitted. */
const MIN_PART_OF_EQUAL_SHARE = 0.5;

/**
 * Splits the limit by the demand that each VM sees. Without reports of others,
 * as in a partition, a VM falls back to an equal share of the VMs it knows of,
 * so that the sum stays within the limit.
 */
export default function computeLimitShare(
  ownDemand: number,
  others: readonly PeerDemand[],
  vmCount: number,
): number {
  const equal = 1 / Math.max(1, vmCount);
  if (others.length < vmCount - 1) {
    return equal;
  }
  const total = others.reduce((sum, report) => sum + report.requestsPerSecond, ownDemand);
  if (total === 0) {
    return equal;
  }
  const floor = equal * MIN_PART_OF_EQUAL_SHARE;
  return floor + (1 - MIN_PART_OF_EQUAL_SHARE) * (ownDemand / total);
}
