/** Pure check of a request's head against the limits of the configuration. */
import { LimeleadError } from '@limelead/errors';
import type { CallerLimits } from '@limelead/types';
import type { RequestTarget } from './request-target.js';

/** Name, colon, blank and line end of a header line. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

/** What a head may not be; undefined where it holds. */
export default function checkHead(
  { rawHeaders, path }: RequestTarget,
  limits: Pick<CallerLimits, 'maxHeaderBytes'>,
): LimeleadError | undefined {
  const bytes = rawHeaders.reduce(
    (sum, part, index) => sum + part.length + (index % 2) * HEADER_LINE_OVERHEAD_BYTES,
    path.length,
  );
  if (bytes > limits.maxHeaderBytes) {
    return new LimeleadError('headers-too-large', 'the head is too long');
  }
  if (!path.startsWith('/')) {
    return new LimeleadError('invalid-request', 'the path does not begin with a slash');
  }
  if (countHeader(rawHeaders, 'host') > 1) {
    return new LimeleadError('invalid-request', 'more than one host');
  }
  return undefined;
}

function countHeader(rawHeaders: string[], name: string): number {
  return rawHeaders.filter((part, index) => index % 2 === 0 && part.toLowerCase() === name).length;
}
