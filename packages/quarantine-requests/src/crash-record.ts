/** Shapes of the evidence against requests. */
import type { Millis, ServiceTarget } from '@limelead/types';
import type { CallerIdentity, RequestIdentity } from './identify-request.js';

/** Software that ran a request. */
export type RunScope = Pick<ServiceTarget, 'service' | 'version'>;

/** The end of one incarnation of a target during a run of a request. */
export interface CrashRecord extends RunScope {
  request: RequestIdentity;
  caller: CallerIdentity;
  /** Id of the target's incarnation. */
  target: string;
  /** When the run was sent and when it broke; steady time. */
  startedAtMs: Millis;
  endedAtMs: Millis;
  /** Whether the run had written output, or was abandoned, before the target ended. */
  mayBeCoincidence?: boolean;
}

/** A quarantined request as stored. */
export interface Quarantine {
  /** The service at which it was proved. */
  service: string;
  caller: CallerIdentity;
}
