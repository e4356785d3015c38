/** Fair shares of the organisations whose requests wait at this VM. */
import type { Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';

/** Shares of all services. Called for each request, so it must be fast. */
export interface RequestShares {
  /** 0 if the organisation is within its share, else demand divided by the share. */
  excessOf(admitted: AdmittedRequest, now: Millis): number;
  /** Records a request that gets a slot; further attempts of it don't count. */
  recordServed(admitted: AdmittedRequest, now: Millis): void;
  /** Records a request that has to wait for a slot. */
  recordWait(admitted: AdmittedRequest, now: Millis): void;
  /** Records a waiting request that gets no slot. */
  recordRefusal(admitted: AdmittedRequest, now: Millis): void;
}

/** Treats all organisations alike. */
export const NO_SHARES: RequestShares = {
  excessOf: () => 0,
  recordServed: () => undefined,
  recordWait: () => undefined,
  recordRefusal: () => undefined,
};
