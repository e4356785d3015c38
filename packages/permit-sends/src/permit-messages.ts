/** What VMs say to each other about permits. Spans in place of times, since each VM's clock is its own. */
import type { Millis } from '@limelead/types';

/** Asks the grantor of a service; replaces what the VM asked for before. */
export interface AskPermits {
  service: string;
  /** Asks of one VM are numbered from 1. */
  number: number;
  wants: { id: number; rank: number; leftMs: Millis }[];
  avoid: string[];
  mayRefuse: boolean;
  received: number;
}

/** What the grantor gives the VM, and that it got its ask. */
export interface GivePermits {
  service: string;
  /** The last ask of the VM that the grantor got. */
  number: number;
  grants: { want: number; target: string }[];
  refusals: { want: number; retryAfterMs: Millis }[];
}

/** The VM had no use for a permit. */
export interface ReturnPermit {
  service: string;
  target: string;
}

/** One of the three. */
export type PermitMessage =
  | ({ kind: 'ask-permits' } & AskPermits)
  | ({ kind: 'give-permits' } & GivePermits)
  | ({ kind: 'return-permit' } & ReturnPermit);
