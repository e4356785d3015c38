/** Limits and messages shared by streams and calls. */

/**
 * Rejected attempts allowed per request. Lower than the session core's limit on
 * broken attempts, so that a request which never ran is reported as not run.
 */
export const MAX_REJECTED_ATTEMPTS = 15;
/** Shortest time for a call after a cooldown or a wait for a retry; with less it is refused. */
export const MIN_CALL_MS = 50;
/** Lowest HTTP status that counts as a failure of the target. */
export const MIN_SERVER_ERROR_STATUS = 500;

/** Error message for the caller of a quarantined request. */
export const QUARANTINED_MESSAGE = 'targets crashed each time they started to run the request';
/** Error message of a VM that can't take a relayed request. */
export const OUT_OF_REACH_MESSAGE = 'this VM reaches no target of the service';
