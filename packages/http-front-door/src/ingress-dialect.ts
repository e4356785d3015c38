/** What callers' requests say, without the names on the wire. */
import type { LimeleadError } from '@limelead/errors';
import * as E from 'fp-ts/lib/Either.js';

/** Facts of a request that stand in its headers. */
export interface IngressHeaders {
  requestId: string;
  /** Milliseconds that the caller waits; undefined where it does not say. */
  timeoutMs?: number;
  key?: string;
  /** Number of the last piece that the caller has; 0 is none. */
  lastPiece: number;
  /** Names the caller's session or prompt; empty for none. */
  affinityKey: string;
  promptTokens: number;
}

/** Reads requests in the words of one kind of caller. */
export interface IngressDialect {
  parseHeaders(rawHeaders: string[]): E.Either<LimeleadError, IngressHeaders>;
}

/** The id of a request, for a line; empty where its head can't be read. */
export function readRequestId(dialect: IngressDialect, rawHeaders: string[]): string {
  const facts = dialect.parseHeaders(rawHeaders);
  return E.isRight(facts) ? facts.right.requestId : '';
}
