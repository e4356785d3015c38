/** Permits to send to targets that name the requests a second that they take from all VMs together. */
import type { Millis, AdvertisedLimit, WaitingRequestQueue } from '@limelead/types';

/** Is asked on the path of requests, so it may not take long. */
export interface SendPermits {
  /** Requests that wait are asked about, and told what became of it. */
  attach(waiting: WaitingRequestQueue): void;
  /** Whether any target names a limit; while none does, every request may go anywhere. */
  readonly isLimiting: boolean;
  /**
   * Whether a request may go to a target now.
   * @param isExtra a second send beside the first, which takes no permit from another request
   */
  maySend(targetId: string, isExtra?: boolean): boolean;
  /** A request goes there now. */
  recordSend(targetId: string, service: string): void;
  /** Requests for a service wait for a slot, or no longer. */
  onQueueChanged(service: string): void;
  /** An answer came to a request that was sent then; steady time. */
  onResponse(targetId: string, told: AdvertisedLimit, askedAtMs: Millis): void;
}

/** Lets every request through to every target. */
export const NO_LIMITS: SendPermits = {
  attach: () => undefined,
  isLimiting: false,
  maySend: () => true,
  recordSend: () => undefined,
  onQueueChanged: () => undefined,
  onResponse: () => undefined,
};
