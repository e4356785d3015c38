/** Delays before calls that failed are repeated. */
import type { Millis } from './time.js';

/** Bounds of the delays. */
export interface BackoffBounds {
  /** Behind the first failure; doubled with each further one. */
  firstMs: Millis;
  maxMs: Millis;
}

/**
 * Delay behind failures in a row, half of it random, so that callers do not repeat together.
 * @param draw from 0 to 1
 */
export function backoffMs(
  failures: number,
  { firstMs, maxMs }: BackoffBounds,
  draw: number,
): Millis {
  return Math.min(maxMs, firstMs * 2 ** (failures - 1)) * (0.5 + draw / 2);
}
