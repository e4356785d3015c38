/** Parses the rejections a second that a brittle target survives. */
import type { AdvertisedBrittleness } from '@limelead/types';
import parseDecimal from './parse-decimal.js';
import createUnreadable from './unreadable.js';

const NOT_BRITTLE: AdvertisedBrittleness = { kind: 'none' };

/** @param text a decimal number; undefined if the response has no such header */
export default function parseBrittleness(text: string | undefined): AdvertisedBrittleness {
  if (text === undefined) {
    return NOT_BRITTLE;
  }
  const rejectionsPerSecond = parseDecimal(text);
  return rejectionsPerSecond === undefined
    ? createUnreadable(text)
    : { kind: 'brittle', rejectionsPerSecond };
}
