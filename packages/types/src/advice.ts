/** Advice on the target of a stream, which the VMs of a large fleet request from a scheduler. */
import type { Millis } from './time.js';

/** A stream that needs a target. */
export interface AdviceRequest {
  service: string;
  affinityKey: string;
  /** Targets that already failed the request. */
  exclude: string[];
  /** Software version to which the stream keeps; undefined before its first piece. */
  softwareVersion?: string;
  /** Tokens of target memory that the run needs; undefined if unknown. */
  tokens?: number;
  /** True if the run can't wait for memory; the emptiest target is advised then. */
  isLastResort?: boolean;
}

/** Result of a request for advice. */
export type Advice =
  | {
      outcome: 'advised';
      target: string;
      /** Target that may keep a replica of the run; undefined if there is no other target. */
      copyTo?: string;
      scheduler: string;
      afterMs: Millis;
    }
  /**
   * The scheduler knows no target with a free slot, or none with enough memory, or does not answer.
   */
  | { outcome: 'no-target' | 'no-room' | 'late' | 'link-lost'; scheduler: string; afterMs: Millis }
  /** The fleet is small, or no scheduler is linked. */
  | { outcome: 'nobody-to-ask' };

/** Requests advice on the target of a stream; returns a function that cancels the request. */
export type RequestTargetAdvice = (
  request: AdviceRequest,
  receive: (advice: Advice) => void,
) => () => void;

/** For VMs without a scheduler, as in a small fleet. */
export const noTargetAdvice: RequestTargetAdvice = (_, receive) => {
  receive({ outcome: 'nobody-to-ask' });
  return () => undefined;
};
