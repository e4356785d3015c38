/** Checks a request head against the configured limits. */
import { LimeleadError } from '@limelead/errors';
import type { CallerLimits } from '@limelead/types';
import type { RequestTarget } from './request-target.js';

/** Colon, blank and line end of a header line. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

/** Returns the error of an invalid head; undefined if it is valid. */
export default function checkHead(
  { rawHeaders, path }: RequestTarget,
  limits: Pick<CallerLimits, 'maxHeaderBytes'>,
): LimeleadError | undefined {
  if (countHeadBytes(rawHeaders, path) > limits.maxHeaderBytes) {
    return new LimeleadError('headers-too-large', 'the request head is too long');
  }
  if (!path.startsWith('/')) {
    return new LimeleadError('invalid-request', 'the path does not begin with a slash');
  }
  if (countHeader(rawHeaders, 'host') > 1) {
    return new LimeleadError('invalid-request', 'more than one Host header');
  }
  return undefined;
}

/** Bytes of a request head. */
export function countHeadBytes(rawHeaders: string[], path: string): number {
  return rawHeaders.reduce(
    (sum, field, index) => sum + field.length + (index % 2) * HEADER_LINE_OVERHEAD_BYTES,
    path.length,
  );
}

function countHeader(rawHeaders: string[], name: string): number {
  return rawHeaders.filter((field, index) => index % 2 === 0 && field.toLowerCase() === name)
    .length;
}
