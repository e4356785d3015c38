/** The closed list of error kinds and the table from kind to answer. */

/** Every kind of error that a caller or operator can meet. */
export const ERROR_KINDS = [
  'invalid-request',
  'too-large',
  'headers-too-large',
  'too-slow',
  'unauthenticated',
  'permission-denied',
  'not-found',
  'conflict',
  'rate-limited',
  'overloaded',
  'deadline-unreachable',
  'deadline-passed',
  'no-target',
  'version-not-live',
  'recovery-exhausted',
  'outcome-unknown',
  'quarantined',
  'call-expired',
  'store-unavailable',
  'handle-invalid',
  'cancelled',
  'shutting-down',
  'internal',
] as const;

/** One of the closed list of error kinds. */
export type ErrorKind = (typeof ERROR_KINDS)[number];

/** Whether a target executed the request behind an error. */
export type Execution = 'not-run' | 'unknown' | 'run';

/** Names of the RPC codes that the table uses; they equal Connect's. */
export type RpcCode =
  | 'invalid_argument'
  | 'unauthenticated'
  | 'permission_denied'
  | 'not_found'
  | 'aborted'
  | 'resource_exhausted'
  | 'deadline_exceeded'
  | 'unavailable'
  | 'data_loss'
  | 'canceled'
  | 'failed_precondition'
  | 'unknown'
  | 'internal';

/** What a caller is told for a kind. */
export interface ErrorAnswer {
  rpcCode: RpcCode;
  execution: Execution;
  /** True where sending the same request again may succeed and is safe. */
  mayRetry: boolean;
  /** Milliseconds to wait before a retry, unless the thrower knows better. */
  retryAfterMs: number;
}

/** The one table from kind to answer. */
export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  'invalid-request': createAnswer('invalid_argument', 'not-run'),
  'too-large': createAnswer('invalid_argument', 'not-run'),
  'headers-too-large': createAnswer('invalid_argument', 'not-run'),
  'too-slow': createAnswer('deadline_exceeded', 'not-run'),
  unauthenticated: createAnswer('unauthenticated', 'not-run'),
  'permission-denied': createAnswer('permission_denied', 'not-run'),
  'not-found': createAnswer('not_found', 'not-run'),
  conflict: createAnswer('aborted', 'not-run'),
  'rate-limited': createAnswer('resource_exhausted', 'not-run', 1000),
  overloaded: createAnswer('resource_exhausted', 'not-run', 2000),
  'deadline-unreachable': createAnswer('deadline_exceeded', 'not-run'),
  'deadline-passed': createAnswer('deadline_exceeded', 'run'),
  'no-target': createAnswer('unavailable', 'not-run', 1000),
  'version-not-live': createAnswer('failed_precondition', 'not-run', 5000),
  'recovery-exhausted': createAnswer('data_loss', 'run', 1000),
  'outcome-unknown': createAnswer('unknown', 'unknown'),
  quarantined: createAnswer('unavailable', 'not-run', 600_000),
  'call-expired': createAnswer('failed_precondition', 'not-run'),
  'store-unavailable': createAnswer('unavailable', 'not-run', 2000),
  'handle-invalid': createAnswer('invalid_argument', 'not-run'),
  cancelled: createAnswer('canceled', 'unknown'),
  'shutting-down': createAnswer('unavailable', 'not-run', 100),
  internal: createAnswer('internal', 'unknown'),
};

function createAnswer(rpcCode: RpcCode, execution: Execution, retryAfterMs?: number): ErrorAnswer {
  return {
    rpcCode,
    execution,
    mayRetry: retryAfterMs !== undefined,
    retryAfterMs: retryAfterMs ?? 0,
  };
}

/** HTTP status of each kind at the HTTP front door. */
const HTTP_STATUS: Readonly<Record<ErrorKind, number>> = {
  'invalid-request': 400,
  'too-large': 413,
  'headers-too-large': 431,
  'too-slow': 408,
  unauthenticated: 401,
  'permission-denied': 403,
  'not-found': 404,
  conflict: 409,
  'rate-limited': 429,
  overloaded: 503,
  'deadline-unreachable': 503,
  'deadline-passed': 504,
  'no-target': 503,
  'version-not-live': 503,
  'recovery-exhausted': 502,
  'outcome-unknown': 502,
  quarantined: 503,
  'call-expired': 410,
  'store-unavailable': 503,
  'handle-invalid': 400,
  cancelled: 502,
  'shutting-down': 503,
  internal: 502,
};

/** Statuses that callers take as a promise that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BAD_GATEWAY = 502;

/**
 * HTTP status for a kind. A request that may have run never gets a status that
 * promises that it did not.
 */
export function toHttpStatus(kind: ErrorKind, execution: Execution): number {
  const status = HTTP_STATUS[kind];
  return execution !== 'not-run' && NOT_RUN_STATUSES.has(status) ? BAD_GATEWAY : status;
}

/** Says whether a text names a kind of the closed list. */
export function isErrorKind(text: string): text is ErrorKind {
  return (ERROR_KINDS as readonly string[]).includes(text);
}
