/** Events of requests for components that measure traffic. */
import type { Millis, ServiceTarget } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';

/** Outcome of one attempt. */
export interface AttemptOutcome {
  /** False if the target failed, broke off or did not answer. Rejections are not reported. */
  isGood: boolean;
  /** Milliseconds to the first piece of a stream, or to the end of another answer. */
  afterMs: Millis;
}

/** Receives request events. Called for each request, so it must be fast. */
export interface TrafficObserver {
  /** Called once when a request passes the filters. */
  onAdmitted?(admitted: AdmittedRequest): void;
  /**
   * Called at most once per attempt when its target is known or assumed to have started it:
   * the first piece of a stream arrived, another answer is complete, or the connection broke
   * after a call was sent.
   */
  onRunStarted?(admitted: AdmittedRequest, target: ServiceTarget): void;
  /** Called when an attempt ends, whether or not its run started. */
  onAttemptEnded?(admitted: AdmittedRequest, target: ServiceTarget, end: AttemptOutcome): void;
  /** Called when an attempt is cancelled before its answer, which takes longer than `afterMs`. */
  onAttemptAbandoned?(admitted: AdmittedRequest, target: ServiceTarget, afterMs: Millis): void;
  /** Called once when the caller has the complete answer or has left. */
  onFinished?(admitted: AdmittedRequest): void;
}

/** Combines several observers into one that calls all of them. */
export function combineObservers(observers: readonly TrafficObserver[]): TrafficObserver {
  return {
    onAdmitted: (...details) => observers.forEach((observer) => observer.onAdmitted?.(...details)),
    onRunStarted: (...details) =>
      observers.forEach((observer) => observer.onRunStarted?.(...details)),
    onAttemptEnded: (...details) =>
      observers.forEach((observer) => observer.onAttemptEnded?.(...details)),
    onAttemptAbandoned: (...details) =>
      observers.forEach((observer) => observer.onAttemptAbandoned?.(...details)),
    onFinished: (...details) => observers.forEach((observer) => observer.onFinished?.(...details)),
  };
}
