/** Computes the share of an organisation's limit that one VM may use. Pure. */

/** Request rate of one organisation at one VM. */
export interface PeerDemand {
  vm: string;
  requestsPerSecond: number;
}

/** Part of an equal share that a VM has without any demand, so that it admits a first request. */
const MIN_PART_OF_EQUAL_SHARE = 0.5;

/**
 * Returns the share (0 to 1) of this VM, in proportion to its demand. Unless all other VMs
 * have reported their demand, it is an equal share, so that the sum stays within the limit.
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
