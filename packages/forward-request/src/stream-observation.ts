/** Conclusions from the attempts of a stream about their targets. */
import type { TargetObservation } from '@limelead/track-service-targets';
import type { LiveAttempt } from './live-attempts.js';
import type { RejectionCause } from './stream-attempt.js';

/** Time without new requests for a target that reported that it is full. */
const FULL_TARGET_PAUSE_MS = 60;

/** Observation of a target that follows from a rejection. */
export function toObservation(cause: RejectionCause): TargetObservation {
  switch (cause) {
    case 'full':
      return { kind: 'full', pauseMs: FULL_TARGET_PAUSE_MS };
    case 'other-target':
      return { kind: 'replaced' };
    case 'unreachable':
      return { kind: 'lost' };
  }
}

/** Number of other requests at the target of an attempt. */
export function countOthers({ slot }: LiveAttempt): number {
  const { inFlight, peerRequests } = slot.tracked;
  return Math.max(0, inFlight + peerRequests - 1);
}
