/** Permits for targets that advertise a rate limit, which all VMs share. */
import type { Millis, AdvertisedLimit, WaitingRequestQueue } from '@limelead/types';

/** Permits of one VM. Called for each request, so it must be fast. */
export interface SendPermits {
  /** Connects the queue of waiting requests. */
  attach(waiting: WaitingRequestQueue): void;
  /** True if any target advertises a limit; otherwise no permits are needed. */
  readonly hasLimits: boolean;
  /**
   * Whether a request may be sent to the target now.
   * @param isHedge true for a hedge, which takes no permit that another request could use
   */
  canSend(targetId: string, isHedge?: boolean): boolean;
  /** Records a request that is sent to the target now. */
  recordSend(targetId: string, service: string): void;
  /** Called when requests for the service start or stop waiting for a slot. */
  onQueueChanged(service: string): void;
  /** Handles the limit in an answer to a request that was sent at `sentAtMs` (steady time). */
  onResponse(targetId: string, limit: AdvertisedLimit, sentAtMs: Millis): void;
}

/** Allows every request to every target. */
export const NO_RATE_LIMITS: SendPermits = {
  attach: () => undefined,
  hasLimits: false,
  canSend: () => true,
  recordSend: () => undefined,
  onQueueChanged: () => undefined,
  onResponse: () => undefined,
};
