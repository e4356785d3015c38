/** Messages between VMs about permits. They carry durations instead of times, since the clocks of VMs differ. */
import type { Millis } from '@limelead/types';

/** Requests permits from the grantor of a service; replaces the previous permit request of the VM. */
export interface AskPermits {
  service: string;
  /** Number of the permit request; each VM counts from 1. */
  number: number;
  wants: { id: number; rank: number; leftMs: Millis }[];
  avoid: string[];
  mayRefuse: boolean;
  received: number;
}

/** Acknowledges a permit request, and carries the grants and refusals for the VM. */
export interface GivePermits {
  service: string;
  /** Number of the last permit request that the grantor received from the VM. */
  number: number;
  grants: { want: number; target: string }[];
  refusals: { want: number; retryAfterMs: Millis }[];
}

/** Returns an unused permit. */
export interface ReturnPermit {
  service: string;
  target: string;
}

/** Any message about permits. */
export type PermitMessage =
  | ({ kind: 'ask-permits' } & AskPermits)
  | ({ kind: 'give-permits' } & GivePermits)
  | ({ kind: 'return-permit' } & ReturnPermit);
