/** Parses `Retry-After` (RFC 9110, 10.2.3); fractions of seconds are accepted as well. */
import type { Millis, RequestedCooldown } from '@limelead/types';
import parseDecimal from './parse-decimal.js';
import createUnreadable from './unreadable.js';

const NO_COOLDOWN: RequestedCooldown = { kind: 'none' };
const SECOND_MS: Millis = 1_000;

const TIME = String.raw`\d{2}:\d{2}:\d{2}`;
/** The three forms of an HTTP date: RFC 9110, RFC 850 and asctime. */
const HTTP_DATES = [
  new RegExp(String.raw`^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} ${TIME} GMT$`),
  new RegExp(String.raw`^[A-Z][a-z]+day, \d{2}-[A-Z][a-z]{2}-\d{2} ${TIME} GMT$`),
  new RegExp(String.raw`^[A-Z][a-z]{2} [A-Z][a-z]{2} [ \d]\d ${TIME} \d{4}$`),
];

/**
 * @param text seconds or an HTTP date; undefined if the response has no such header
 * @param timeOfDayMs present time of day, in Unix milliseconds
 */
export default function parseRetryAfter(
  text: string | undefined,
  timeOfDayMs: Millis,
): RequestedCooldown {
  if (text === undefined) {
    return NO_COOLDOWN;
  }
  const trimmed = text.trim();
  const seconds = parseDecimal(trimmed);
  if (seconds !== undefined) {
    return { kind: 'delay', delayMs: seconds * SECOND_MS };
  }
  const dateMs = parseHttpDate(trimmed);
  return dateMs === undefined
    ? createUnreadable(text)
    : { kind: 'delay', delayMs: Math.max(0, dateMs - timeOfDayMs) };
}

function parseHttpDate(text: string): Millis | undefined {
  if (!HTTP_DATES.some((form) => form.test(text))) {
    return undefined;
  }
  const dateMs = Date.parse(text.endsWith('GMT') ? text : `${text} GMT`);
  return Number.isNaN(dateMs) ? undefined : dateMs;
}
