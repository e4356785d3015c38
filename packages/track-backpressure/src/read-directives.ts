/** Decodes all back pressure headers of a response. */
import type { Millis, TargetDirectives } from '@limelead/types';
import parseBrittleness from './parse-brittleness.js';
import parseLoad from './parse-load.js';
import parseRateLimit from './parse-rate-limit.js';
import parseRetryAfter from './parse-retry-after.js';

const UNAVAILABLE = 503;
const LEAVING_VALUE = '1';

/** Header names, in lower case. */
export interface DirectiveHeaderNames {
  limit: string;
  retryAfter: string;
  leaving: string;
  /** Undefined if the targets state no load. */
  load?: string;
  /** Undefined if no target is brittle. */
  brittle?: string;
}

/** Status and headers of a response; header names in lower case. */
export interface ResponseHead {
  status: number;
  headers: ReadonlyMap<string, string>;
}

/** @param timeOfDayMs present time of day, in Unix milliseconds */
export default function readDirectives(
  { status, headers }: ResponseHead,
  names: DirectiveHeaderNames,
  timeOfDayMs: Millis,
): TargetDirectives {
  const retryAfter = status === UNAVAILABLE ? headers.get(names.retryAfter) : undefined;
  return {
    limit: parseRateLimit(headers.get(names.limit)),
    cooldown: parseRetryAfter(retryAfter, timeOfDayMs),
    isLeaving: headers.get(names.leaving)?.trim() === LEAVING_VALUE,
    load: parseLoad(names.load === undefined ? undefined : headers.get(names.load)),
    brittleness: parseBrittleness(
      names.brittle === undefined ? undefined : headers.get(names.brittle),
    ),
  };
}
