/**
 * Updates that VMs send each other about requests that may crash targets. Times are the receiver's
 * steady time.
 */
import type { Millis } from '@limelead/types';
import type { CrashRecord, RunScope } from './crash-record.js';
import type { RequestIdentity } from './identify-request.js';

/** A reported crash whose target is still running. */
export interface WithdrawnCrash {
  request: RequestIdentity;
  target: string;
}

/** A request that a target ran without a crash. */
export interface ClearedRequest {
  request: RequestIdentity;
  /** The software that ran it; undefined in updates of earlier releases. */
  scope: RunScope | undefined;
  atMs: Millis;
}

/** Start or end of a suspected request's trial at the VM that sends it. */
export interface TrialNotice {
  request: RequestIdentity;
  /** Id of the trial; detects repeated notices. */
  trial: string;
  isOver: boolean;
}

/** Any number of changes of each kind. */
export interface QuarantineUpdate {
  crashes: CrashRecord[];
  withdrawn: WithdrawnCrash[];
  cleared: ClearedRequest[];
  trials: TrialNotice[];
}

/** Creates an update from the changes that are given. */
export function createQuarantineUpdate(update: Partial<QuarantineUpdate>): QuarantineUpdate {
  return { crashes: [], withdrawn: [], cleared: [], trials: [], ...update };
}

/** Whether an update has no changes. */
export function isEmptyQuarantineUpdate({
  crashes,
  withdrawn,
  cleared,
  trials,
}: QuarantineUpdate): boolean {
  return crashes.length + withdrawn.length + cleared.length + trials.length === 0;
}
