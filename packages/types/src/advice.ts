/** Advice on where a stream should go, which the VMs of a large fleet ask of a scheduler. */
import type { Millis } from './time.js';

/** What a stream needs a target for. */
export interface AdviceRequest {
  service: string;
  affinityKey: string;
  /** Targets that already failed the request. */
  exclude: string[];
}

/** What came of asking for advice. */
export type Advice =
  | {
      outcome: 'advised';
      target: string;
      /** Where a copy of the run may stand; undefined where there is no other target. */
      copyTo?: string;
      scheduler: string;
      afterMs: Millis;
    }
  /** The scheduler knows no target with a free place, or does not answer. */
  | { outcome: 'no-target' | 'late' | 'link-lost'; scheduler: string; afterMs: Millis }
  /** The fleet is small, or no scheduler is linked. */
  | { outcome: 'nobody-to-ask' };

/** Asks where a stream should go; gives what ends waiting for the answer. */
export type AskTarget = (request: AdviceRequest, receive: (advice: Advice) => void) => () => void;

/** Where there is no scheduler, as in a small fleet. */
export const askNobody: AskTarget = (_, receive) => {
  receive({ outcome: 'nobody-to-ask' });
  return () => undefined;
};
