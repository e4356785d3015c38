/** Composes the headers with which another VM receives a request. */
import { filterEndToEndHeaders, type AttemptRequest } from '@limelead/forward-request';
import type { ProgressHeaders } from '@limelead/http-front-door';
import { streamIdOf } from '@limelead/types';
import { markRelayed } from './relay-protocol.js';

/** Headers that belong to the connection of the caller, beside the hop-by-hop headers. */
const CALLER_HEADERS = ['content-length', 'expect'];

/**
 * The deadline is what is left of it. A stream goes on behind its last piece, and the other VM can
 * find out which software version began it.
 */
export default function composeRelayHeaders(
  {
    request,
    remainingMs,
    lastPiece,
  }: Pick<AttemptRequest, 'request' | 'remainingMs' | 'lastPiece'>,
  names: ProgressHeaders,
): string[] {
  const replaced = [names.timeoutMs, names.lastPiece, names.firstAttemptId].map((name) =>
    name.toLowerCase(),
  );
  const without = new Set([...CALLER_HEADERS, ...replaced]);
  const headers = filterEndToEndHeaders(request.rawHeaders, without);
  headers.push(names.timeoutMs, String(Math.max(1, Math.floor(remainingMs))));
  if (lastPiece > 0) {
    headers.push(names.lastPiece, String(lastPiece), names.firstAttemptId, streamIdOf(request));
  }
  return markRelayed(headers, 'request');
}
