/** System sizes, budgets and settings for docs/CAPACITY.md. */

/** A size of the whole system. */
export interface SystemSize {
  vms: number;
  targets: number;
  requestsPerSecond: number;
  tokensPerSecond: number;
  organisations: number;
  changesPerDay: number;
  failureDomains: number;
  /** Share of requests that are non-repeatable calls, 0 to 1. */
  nonRepeatableCallShare: number;
}

/** Size of one current installation. */
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

/** Largest size that the system must support. */
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

/** Resources of one VM available for control traffic and state. */
export const CONTROL_BUDGET = { cpuMsPerSecond: 29, memoryMb: 128, kbPerSecond: 30 } as const;

/**
 * Rate limits of the platform's service for the whole fleet, as specified for 7 VMs. Those for 88
 * VMs are three times as high; none are specified for the target size, so the lower ones apply.
 */
export const SERVICE_BUDGET = { writesPerSecond: 400, readsPerSecond: 2_000 } as const;

/** Intervals and limits of a fleet, as in examples/limelead.jsonc. */
export const FLEET_SETTINGS = {
  heartbeatSeconds: 1,
  listPollSeconds: 1,
  loadPollSeconds: 0.5,
  configurationPollSeconds: 30,
  watchSeconds: 5,
  leaseSeconds: 1.5,
  /** Peer links that a VM opens; it accepts about as many. */
  links: 12,
  watchers: 2,
  claimBuckets: 16,
} as const;

/** HTTP overhead of one poll of a target, in both directions. */
export const POLL_OVERHEAD_BYTES = 420;
export const TOKEN_GAP_SECONDS = 0.032;
export const KB_PER_MB = 1_024;
