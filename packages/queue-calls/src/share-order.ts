/** Order of waiting calls by the fair shares of their organisations. */
import type { Millis } from '@limelead/types';

/** Demand of organisations in relation to their fair shares. */
export interface ShareOrder {
  /** 0 within its fair share, else demand divided by the share. */
  excessOf(organisation: string | undefined, now: Millis): number;
  recordArrival(organisation: string | undefined, now: Millis): void;
}

/** Treats all organisations alike. */
export const EQUAL_SHARES: ShareOrder = {
  excessOf: () => 0,
  recordArrival: () => undefined,
};
