/** Settings of one gateway process. */
import type { CapacitySettings } from '@limelead/order-capacity';
import type { LocalityPrices } from '@limelead/locality';
import type { RollOutBounds } from '@limelead/run-roll-outs';
import type { RetryBudgetLimits } from '@limelead/spend-retries';
import type { Address } from '@limelead/types';

/** Duties that one VM at a time holds, and limits on their calls to the platform. */
export interface DutySettings {
  /** The enabled duties. */
  duties: readonly DutyName[];
  /** Limit on the calls of all VMs together. */
  callsPerSecond: number;
  /** TTL of the lease on the duties. */
  leaseMs: number;
  /** Length of a usage window. */
  usageWindowMs: number;
  /** Time after the end of a window within which its usage must be reported. */
  usageDueMs: number;
}

/** A duty that limelead supports. */
export type DutyName = 'usage' | 'capacity';

/** Settings of the VM's process; the serving configuration comes from the store. */
export interface GatewaySettings {
  vm: string;
  failureDomain: string;
  frontDoor: Address;
  readiness: Address;
  metrics?: Address;
  /** Address at which peers reach this VM; undefined if it has no peers. */
  peers?: Address;
  /** Addresses of some peers, which may be outdated. */
  seeds: Address[];
  /** Secret shared by the VMs of a fleet; empty disables authentication between peers. */
  peerSecret: string;
  /** Time within which a leaving target must stop receiving requests. */
  leavingTargetMs: number;
  /** Time within which a configuration accepted by the store must be in force. */
  configurationWithinMs: number;
  /** Time between the stop signal and the kill of the process. */
  stopGraceMs: number;
  retryBudget: RetryBudgetLimits;
  /** Limit on bytes of answers that wait for their callers; follows the VM's memory by default. */
  maxBufferedAnswerBytes?: number;
  rollOut: RollOutBounds;
  /** Region of this VM; undefined if no regions are configured. */
  region?: string;
  /** Region of each failure domain; empty if no regions are configured. */
  regionOf: Readonly<Record<string, string>>;
  /** Costs of distance set by the operator; others have defaults. */
  localityPrices?: Partial<LocalityPrices>;
  /** Undefined if the platform configures no duties. */
  duties?: DutySettings;
  /** Settings for ordering targets. */
  capacity: CapacitySettings;
  /**
   * Bound on the request bodies in progress at one target, of all VMs together, in bytes; undefined
   * for the default.
   */
  maxTargetBodyBytes?: number;
  /**
   * Whether engines are chosen by the tokens that they hold and their present pace, too; false by
   * default. Prompts that share their beginnings hold less than their sum, so that runs would wait
   * and replicas be left out without need.
   */
  placesByMemoryAndPace?: boolean;
  /** Duties that the platform names and limelead doesn't support. */
  unknownDuties?: readonly string[];
}
