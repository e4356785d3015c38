/** Reads the requests a second that a target names as text. */
import type { ToldLimit } from '@limelead/types';

const NO_LIMIT: ToldLimit = { kind: 'none' };
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;
/** Of a limit that can't be read; what a target sends may be long. */
const MOST_TOLD_CHARACTERS = 40;

/** Only a plain decimal number is a rate; undefined where the answer names none. */
export default function readToldLimit(text: string | undefined): ToldLimit {
  if (text === undefined) {
    return NO_LIMIT;
  }
  return DECIMAL.test(text)
    ? { kind: 'rate', perSecond: Number(text) }
    : { kind: 'unreadable', text: text.slice(0, MOST_TOLD_CHARACTERS) };
}
