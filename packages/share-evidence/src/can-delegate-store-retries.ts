/** State of this VM that decides whether it retries the store itself. */
export interface StoreRetryConditions {
  isLargeFleet: boolean;
  /** Whether other VMs rely on this one to follow the store. */
  isStoreFollower: boolean;
  /** Number of linked peers, which report when the store answers again. */
  linkedPeers: number;
  /** Whether the store holds a newer configuration that is too large to get from peers. */
  needsLargeConfiguration: boolean;
}

/**
 * Returns whether other VMs retry an unavailable store and can send this VM everything that it
 * needs.
 */
export default function canDelegateStoreRetries(conditions: StoreRetryConditions): boolean {
  const { isLargeFleet, isStoreFollower, linkedPeers, needsLargeConfiguration } = conditions;
  return isLargeFleet && !isStoreFollower && linkedPeers > 0 && !needsLargeConfiguration;
}
