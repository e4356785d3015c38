/** What parts that count traffic are told of each request. */
import type { Millis, ServiceTarget } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';

/** How a target's answer to one send ended. */
export interface SendEnd {
  /** False where the target failed, broke off or gave no answer; its refusals are not told. */
  isGood: boolean;
  /** Time from the send to the first piece of a stream, or to the end of another answer. */
  afterMs: Millis;
}

/** Is called on the path of requests, so it may not take long. */
export interface TrafficObserver {
  /** A request passed the filters; it is told once. */
  onAdmitted?(admitted: AdmittedRequest): void;
  /**
   * A target began to run a request: the first piece of a stream came, or the whole of
   * another answer, or the connection broke behind a call that was sent. Told once for each
   * send that was begun.
   */
  onBegun?(admitted: AdmittedRequest, target: ServiceTarget): void;
  /** A send that was begun, or that broke off before, ended. */
  onSendEnded?(admitted: AdmittedRequest, target: ServiceTarget, end: SendEnd): void;
  /**
   * A send was given up before its answer came, for a better one or since its time was
   * over: its answer takes longer than that.
   */
  onSendAbandoned?(admitted: AdmittedRequest, target: ServiceTarget, afterMs: Millis): void;
  /** The caller has its final answer, or left; it is told once. */
  onFinished?(admitted: AdmittedRequest): void;
}

/** Tells several observers. */
export function tellAll(observers: readonly TrafficObserver[]): TrafficObserver {
  return {
    onAdmitted: (...facts) => observers.forEach((observer) => observer.onAdmitted?.(...facts)),
    onBegun: (...facts) => observers.forEach((observer) => observer.onBegun?.(...facts)),
    onSendEnded: (...facts) => observers.forEach((observer) => observer.onSendEnded?.(...facts)),
    onSendAbandoned: (...facts) =>
      observers.forEach((observer) => observer.onSendAbandoned?.(...facts)),
    onFinished: (...facts) => observers.forEach((observer) => observer.onFinished?.(...facts)),
  };
}
