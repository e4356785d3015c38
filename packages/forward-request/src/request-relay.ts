/** Relays requests through other VMs while this VM reaches no target of their service. */
import type { AdmittedRequest } from './admitted-request.js';
import type { Slot } from './slot-request.js';

/** What forwarding asks of the relay. */
export interface RequestRelay {
  /**
   * Acquires a slot at a VM that reaches the service. Undefined if this VM reaches it itself, if the
   * request was relayed already, or if no VM is left that may take it.
   * @param exclude VMs that already failed or declined this request
   */
  acquire(admitted: AdmittedRequest, exclude: ReadonlySet<string>): Slot | undefined;
  /** Whether another VM will count the request, since this VM is about to relay it. */
  isNeeded(admitted: Pick<AdmittedRequest, 'isRelayed' | 'service'>): boolean;
  /** Whether a request that was relayed to this VM must go back, since this VM reaches no target. */
  mustDecline(admitted: Pick<AdmittedRequest, 'isRelayed' | 'service'>): boolean;
}

/** For VMs without peers. */
export const NO_RELAY: RequestRelay = {
  acquire: () => undefined,
  isNeeded: () => false,
  mustDecline: () => false,
};
