/** The error kinds and the answer for each. */

/** All kinds of errors that callers and operators may receive. */
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

/** A kind of error. */
export type ErrorKind = (typeof ERROR_KINDS)[number];

/** Whether a target executed the failed request. */
export type Execution = 'not-run' | 'unknown' | 'run';

/** The Connect RPC codes used in answers. */
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

/** The answer to a caller for an error kind. */
export interface ErrorAnswer {
  rpcCode: RpcCode;
  execution: Execution;
  /** Whether a retry of the same request is safe and may succeed. */
  mayRetry: boolean;
  /** Default delay before a retry; 0 if a retry is not allowed. */
  retryAfterMs: number;
}

/** The default answer for each kind. */
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

/** The HTTP status of each kind at the HTTP front door. */
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

/** Statuses that guarantee to callers that the request was not executed. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BAD_GATEWAY = 502;

/** Whether a status guarantees to callers that the request was not executed. */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/**
 * Returns the HTTP status for a kind. A request that may have been executed never gets a
 * status that guarantees the opposite.
 */
export function toHttpStatus(kind: ErrorKind, execution: Execution): number {
  const status = HTTP_STATUS[kind];
  return execution !== 'not-run' && promisesNotRun(status) ? BAD_GATEWAY : status;
}

/** Whether a text is an error kind. */
export function isErrorKind(text: string): text is ErrorKind {
  return (ERROR_KINDS as readonly string[]).includes(text);
}
