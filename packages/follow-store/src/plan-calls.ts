/**
 * Computes the waits of watches and the delays of retries. A lost call is detected only when
 * it times out, and until then no change is received. So both follow from the maximum staleness.
 */
import type { Millis } from '@limelead/types';
import { STORE_RESPONSE_TIMEOUT_MS } from './store-port.js';

/** Longest wait of a watch, even if the maximum staleness allows more. */
const MAX_WATCH_WAIT_MS: Millis = 3_000;
/** Shortest wait of a watch; limits the rate of calls if the maximum staleness is short. */
const MIN_WATCH_WAIT_MS: Millis = 200;
/** Longest wait of a watch by a VM that follows the store for peers. */
const MAX_SERVING_WATCH_WAIT_MS: Millis = 800;
/** Wait of a watch that probes an unavailable store. */
const PROBE_WAIT_MS: Millis = 1;
/** Time to reconnect and receive an answer. */
const RECONNECT_MS: Millis = 100;
/** Delay of the first retry; short, since a single connection may have failed. */
const INITIAL_RETRY_DELAY_MS: Millis = 100;
/** Longest delay between two retries, even if the maximum staleness allows more. */
const MAX_RETRY_DELAY_MS: Millis = 1_000;

/** Conditions that determine the wait of a watch. */
export interface WatchConditions {
  /** Time within which a change must be received, even if a call is lost. */
  maxStalenessMs: Millis;
  /** Time since the last call ended. */
  pausedMs: Millis;
  /** Whether the last call failed. */
  isStoreUnavailable: boolean;
  /** Whether peers may rely on this VM's answers. */
  mayServePeers: boolean;
}

/** The longest wait that leaves time for a timeout, a delay and one retry. */
export function planWatchWait(conditions: WatchConditions): Millis {
  const { maxStalenessMs, pausedMs, isStoreUnavailable, mayServePeers } = conditions;
  if (isStoreUnavailable) {
    return PROBE_WAIT_MS;
  }
  const reservedMs = pausedMs + STORE_RESPONSE_TIMEOUT_MS + INITIAL_RETRY_DELAY_MS + RECONNECT_MS;
  const maxMs = mayServePeers ? MAX_SERVING_WATCH_WAIT_MS : MAX_WATCH_WAIT_MS;
  return Math.min(Math.max(maxStalenessMs - reservedMs, MIN_WATCH_WAIT_MS), maxMs);
}

/**
 * The delay before the next retry: exponential backoff, limited so that a retry that is lost
 * right before the end of an outage leaves time for another one.
 */
export function planRetryDelay(maxStalenessMs: Millis, failures: number): Millis {
  const maxMs = Math.min(
    maxStalenessMs - STORE_RESPONSE_TIMEOUT_MS - RECONNECT_MS,
    MAX_RETRY_DELAY_MS,
  );
  return Math.min(
    INITIAL_RETRY_DELAY_MS * 2 ** (failures - 1),
    Math.max(maxMs, INITIAL_RETRY_DELAY_MS),
  );
}
