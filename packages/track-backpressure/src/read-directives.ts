/** Decodes all backpressure headers of an answer. */
import type { Millis, TargetDirectives } from '@limelead/types';
import parseRateLimit from './parse-rate-limit.js';
import parseRetryAfter from './parse-retry-after.js';

const UNAVAILABLE = 503;
const SAYS_LEAVING = '1';

/** Names of the headers, in lower case. */
export interface DirectiveHeaders {
  limit: string;
  retryAfter: string;
  leaving: string;
}

/** Status and headers of an answer; names in lower case. */
export interface DirectiveHead {
  status: number;
  headers: ReadonlyMap<string, string>;
}

/** @param timeOfDayMs present time of day, in Unix milliseconds */
export default function readDirectives(
  { status, headers }: DirectiveHead,
  names: DirectiveHeaders,
  timeOfDayMs: Millis,
): TargetDirectives {
  const retryAfter = status === UNAVAILABLE ? headers.get(names.retryAfter) : undefined;
  return {
    limit: parseRateLimit(headers.get(names.limit)),
    cooldown: parseRetryAfter(retryAfter, timeOfDayMs),
    isLeaving: headers.get(names.leaving)?.trim() === SAYS_LEAVING,
  };
}
