/** Bounds that streams and calls share. */

/**
 * Sends that targets turned away, after which a request is given up. Fewer than
 * the breaks that the session core bears, so that a request which never ran is
 * refused as such.
 */
export const MAX_TURNED_AWAY = 15;
/** Statuses from this one on say that the target failed. */
export const SERVER_ERROR_STATUS = 500;

/** What callers are told of a request that is kept from targets. */
export const QUARANTINED_MESSAGE = 'targets ended each time that they began to run the request';
