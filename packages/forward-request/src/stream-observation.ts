/** Conclusions from the attempts of a stream about their targets. */
import type { SessionState } from '@limelead/generation-session';
import type { TargetObservation } from '@limelead/track-service-targets';
import type { Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import { isRelayed, type LiveAttempt } from './live-attempts.js';
import type { RejectionCause } from './stream-attempt.js';
import type { LostAttempt } from './stream-report.js';

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
function countOthers({ slot }: LiveAttempt): number {
  const { inFlight, peerRequests } = slot.tracked;
  return Math.max(0, inFlight + peerRequests - 1);
}

/** Records that a target is down or was replaced; its silent runs are given up. */
export function observeLostTarget(
  { directory, silence }: Pick<ForwardContext, 'directory' | 'silence'>,
  target: string,
  kind: 'lost' | 'replaced',
): void {
  directory.observe(target, { kind });
  silence.onTargetLost(target);
}

/**
 * A broken connection counts as a lost target, unless another VM relays the run. If the request is
 * suspected of crashes, only this incarnation of the target is over, and its failure domain is not
 * in doubt.
 */
export function observeBrokenTarget(
  context: Pick<ForwardContext, 'directory' | 'silence'>,
  live: LiveAttempt,
  isSuspected: boolean,
): void {
  if (!isRelayed(live)) {
    observeLostTarget(context, live.attempt.target.id, isSuspected ? 'replaced' : 'lost');
  }
}

/** What the line of a lost attempt says of its run. */
export function describeLostRun(
  live: LiveAttempt,
  { delivered, lastDeliveredAtMs }: Pick<SessionState, 'delivered' | 'lastDeliveredAtMs'>,
  now: Millis,
): Omit<LostAttempt, 'attempt' | 'cause' | 'reason'> {
  return {
    target: live.attempt.target.id,
    delivered,
    sinceLastPieceMs: now - lastDeliveredAtMs,
    runMs: now - live.activity.startedAtMs,
    wrote: live.firstPieceAfterMs !== undefined,
    beside: countOthers(live),
    copyAt: live.replica?.target.id,
  };
}

/**
 * Records the time to the first piece of a run; it updates the prefill estimate if the prompt was
 * read.
 */
export function recordFirstPiece(
  { clock, prefill, observer }: Pick<ForwardContext, 'clock' | 'prefill' | 'observer'>,
  admitted: AdmittedRequest,
  live: LiveAttempt,
): void {
  if (live.firstPieceAfterMs !== undefined) {
    return;
  }
  const { isWriting, startedAtMs } = live.activity;
  live.firstPieceAfterMs = clock.now() - startedAtMs;
  if (isRelayed(live)) {
    return;
  }
  if (!isWriting) {
    prefill.record(admitted, live.firstPieceAfterMs);
  }
  observer.onRunStarted?.(admitted, live.attempt.target);
}
