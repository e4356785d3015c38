/** Settings of one gateway process, in the product's own words. */
import type { CapacitySettings } from '@limelead/order-capacity';
import type { LocalityPrices } from '@limelead/locality';
import type { RollOutBounds } from '@limelead/run-roll-outs';
import type { RetryBudgetLimits } from '@limelead/spend-retries';
import type { Address } from '@limelead/types';

/** Calls to the platform that only one VM at a time may make, and the bounds on them. */
export interface DutySettings {
  /** What this system has to do. */
  duties: readonly DutyName[];
  /** Calls that all VMs together may make in a second. */
  callsPerSecond: number;
  /** Within this time holders may not act in the order A, B, A, in milliseconds. */
  leaseMs: number;
  /** Length of a window of usage, in milliseconds. */
  usageWindowMs: number;
  /** Time behind the end of a window by which its usage is due, in milliseconds. */
  usageDueMs: number;
}

/** A duty that the product knows. */
export type DutyName = 'usage' | 'capacity';

/** What a process is told by its VM. Everything else comes from the store. */
export interface GatewaySettings {
  vm: string;
  failureDomain: string;
  frontDoor: Address;
  readiness: Address;
  metrics?: Address;
  /** Where other VMs reach this one; undefined where it has no peers. */
  peers?: Address;
  /** Some addresses of other VMs, which may be old. */
  seeds: Address[];
  /** Shared by the VMs of a fleet; empty where links prove nothing. */
  peerSecret: string;
  /** Time after which a target that leaves may get no work any more, in milliseconds. */
  leavingTargetMs: number;
  /** Time within which a configuration that the store accepted has to be in force, in milliseconds. */
  configurationWithinMs: number;
  /** Time between the request to stop and the kill, in milliseconds. */
  stopGraceMs: number;
  retryBudget: RetryBudgetLimits;
  rollOut: RollOutBounds;
  /** Region of this VM; undefined where nothing tells of regions. */
  region?: string;
  /** Region of each failure domain; empty where nothing tells of regions. */
  regionOf: Readonly<Record<string, string>>;
  /** Prices of distance that the operator set; the others have their defaults. */
  localityPrices?: Partial<LocalityPrices>;
  /** Undefined where the platform names no duties. */
  duties?: DutySettings;
  /** How many targets are ordered, where this system orders them. */
  capacity: CapacitySettings;
  /** Duties that the platform names and the product does not know. */
  unknownDuties?: readonly string[];
}
