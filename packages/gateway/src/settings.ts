/** Settings of one gateway process, in the product's own words. */
import type { RetryBudget } from '@limelead/spend-retries';
import type { ListenAddress } from './readiness-server.js';

/** What a process is told by its VM. Everything else comes from the store. */
export interface GatewaySettings {
  vm: string;
  failureDomain: string;
  frontDoor: ListenAddress;
  readiness: ListenAddress;
  metrics?: ListenAddress;
  /** Where other VMs reach this one; undefined where it has no peers. */
  peers?: ListenAddress;
  /** Some addresses of other VMs, which may be old. */
  seeds: ListenAddress[];
  /** Time after which a target that leaves may get no work any more, in milliseconds. */
  leavingTargetMs: number;
  /** Time within which a configuration that the store accepted has to be in force, in milliseconds. */
  configurationWithinMs: number;
  /** Time between the request to stop and the kill, in milliseconds. */
  stopGraceMs: number;
  retryBudget: RetryBudget;
}
