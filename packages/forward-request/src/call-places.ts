/** Places at targets of a service that is queued for all VMs together. */
import type { ReleasePlace, WaitingCall, WaitingCallQueue } from '@limelead/types';

/** Places of one VM. Called for each request, so it must be fast. */
export interface CallPlaces {
  /** Connects the queue of waiting calls. */
  attach(waiting: WaitingCallQueue): void;
  /** Whether calls of the service need places now. */
  isQueued(service: string): boolean;
  /** Whether a call of the service may be sent now without a place. */
  canSend(service: string): boolean;
  /** Records a call that is sent now; the result is called when it ends. */
  recordSend(
    targetId: string,
    service: string,
    call?: Pick<WaitingCall, 'objectiveAtMs'>,
  ): ReleasePlace;
  /** Called when calls of the service start or stop waiting for a slot. */
  onQueueChanged(service: string): void;
}

/** Queues no service. */
export const NO_CALL_QUEUES: CallPlaces = {
  attach: () => undefined,
  isQueued: () => false,
  canSend: () => true,
  recordSend: () => () => undefined,
  onQueueChanged: () => undefined,
};
