/** Validates roll-out orders. */
import type { Millis } from '@limelead/types';
import type { StoredOrder } from './types.js';

/**
 * Longer durations are rejected as mistakes of unit: nobody watches a roll-out for more than a day.
 */
const MAX_DURATION_MS = 86_400_000;

/** Reason for which an order is rejected. */
export type OrderFault = 'unknown-service' | 'duration-out-of-range';

/** Returns the reason to reject an order; undefined if the order is valid. */
export default function validateOrder(
  { order }: StoredOrder,
  isService: (name: string) => boolean,
): OrderFault | undefined {
  if (!isService(order.service)) {
    return 'unknown-service';
  }
  return isDuration(order.durationMs) ? undefined : 'duration-out-of-range';
}

function isDuration(durationMs: Millis): boolean {
  return durationMs > 0 && durationMs <= MAX_DURATION_MS;
}
