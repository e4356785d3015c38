/** Callers' request headers, independent of their names on the wire. */
import type { LimeleadError } from '@limelead/errors';
import * as E from 'fp-ts/lib/Either.js';

/** Parsed headers of a request. */
export interface IngressHeaders {
  requestId: string;
  /** The caller's timeout; undefined if it sends none. */
  timeoutMs?: number;
  key?: string;
  /** Number of the last piece that the caller received; 0 for none. */
  lastPiece: number;
  /** Id of the caller's attempt that brought the first piece; undefined if it names none. */
  firstAttemptId?: string;
  /** Identifies the caller's session or prompt; empty for none. */
  affinityKey: string;
  promptTokens: number;
  /** Highest number of tokens of the answer; undefined if the caller does not state it. */
  maxOutputTokens?: number;
}

/** Names of the headers that change when a request is relayed to another VM. */
export interface ProgressHeaders {
  /** Milliseconds until the deadline. */
  timeoutMs: string;
  /** Number of the last piece that the caller has received. */
  lastPiece: string;
  /** Id of the caller's attempt that brought the first piece. */
  firstAttemptId: string;
}

/** Parses the headers of one caller protocol. */
export interface IngressDialect {
  parseHeaders(rawHeaders: string[]): E.Either<LimeleadError, IngressHeaders>;
  readonly progressHeaders: ProgressHeaders;
}

/** The id of a request for log lines; empty if its headers are invalid. */
export function readRequestId(dialect: IngressDialect, rawHeaders: string[]): string {
  const headers = dialect.parseHeaders(rawHeaders);
  return E.isRight(headers) ? headers.right.requestId : '';
}
