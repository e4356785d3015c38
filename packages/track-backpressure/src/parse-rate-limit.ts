/** Reads the requests a second that a target names. */
import type { AdvertisedLimit } from '@limelead/types';
import parseDecimal from './parse-decimal.js';
import createUnreadable from './unreadable.js';

const NO_LIMIT: AdvertisedLimit = { kind: 'none' };

/** @param text a decimal number; undefined where the answer names none */
export default function parseRateLimit(text: string | undefined): AdvertisedLimit {
  if (text === undefined) {
    return NO_LIMIT;
  }
  const perSecond = parseDecimal(text);
  return perSecond === undefined ? createUnreadable(text) : { kind: 'rate', perSecond };
}
