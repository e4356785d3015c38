/** Parses an advertised rate limit, in requests a second. */
import type { AdvertisedLimit } from '@limelead/types';
import parseDecimal from './parse-decimal.js';
import createUnreadable from './unreadable.js';

const NO_LIMIT: AdvertisedLimit = { kind: 'none' };

/** @param text a decimal number; undefined if the response has no such header */
export default function parseRateLimit(text: string | undefined): AdvertisedLimit {
  if (text === undefined) {
    return NO_LIMIT;
  }
  const perSecond = parseDecimal(text);
  return perSecond === undefined ? createUnreadable(text) : { kind: 'rate', perSecond };
}
