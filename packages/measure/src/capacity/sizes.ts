/** The two sizes for which the page is worked out. */

/** A size of the whole system. */
export interface SystemSize {
  vms: number;
  targets: number;
  requestsPerSecond: number;
  tokensPerSecond: number;
  organisations: number;
  changesPerDay: number;
  failureDomains: number;
  /** Part of the requests that are calls which may not be repeated; the users name none, so this is assumed. */
  nonRepeatableCallShare: number;
}

/** Today's size of one user; rates are assumed, the users name none. */
export const CURRENT_SIZE: SystemSize = {
  vms: 7,
  targets: 21,
  requestsPerSecond: 20,
  tokensPerSecond: 6_000,
  organisations: 10,
  changesPerDay: 20,
  failureDomains: 4,
  nonRepeatableCallShare: 0.05,
};

/** The size that the users' first letter asks for. */
export const TARGET_SIZE: SystemSize = {
  vms: 410,
  targets: 3_500,
  requestsPerSecond: 4_700,
  tokensPerSecond: 2_100_000,
  organisations: 40_000,
  changesPerDay: 2_000,
  failureDomains: 20,
  nonRepeatableCallShare: 0.05,
};

/** What a node may spend on control. */
export const CONTROL_BUDGET = { cpuMsPerSecond: 29, memoryMb: 128, kbPerSecond: 30 } as const;

/**
 * What the platform's service bears, from the users' sheets for 7 VMs. Those for
 * 88 VMs tell three times as much; none tells it for the target, so the smaller
 * rates stand.
 */
export const SERVICE_BUDGET = { writesPerSecond: 400, readsPerSecond: 2_000 } as const;

/** Settings of a fleet as in examples/limelead.jsonc. */
export const FLEET_SETTINGS = {
  heartbeatSeconds: 1,
  listPollSeconds: 1,
  loadPollSeconds: 0.5,
  ownLookSeconds: 30,
  watchSeconds: 5,
  leaseSeconds: 1.5,
  /** Links that a VM opens, and about as many that it accepts. */
  links: 12,
  watchers: 2,
  claimBuckets: 16,
} as const;

/** Bytes of HTTP around one poll of a target, both ways; counted from one exchange. */
export const POLL_OVERHEAD_BYTES = 420;
export const TOKEN_GAP_SECONDS = 0.032;
export const KB_PER_MB = 1_024;
