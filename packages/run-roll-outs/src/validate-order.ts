/** Says what is wrong with an order, where something is. */
import type { Millis } from '@limelead/types';
import type { StoredOrder } from './types.js';

/** Longer orders are taken for mistakes of unit: nobody watches a roll-out for more than a day. */
const MAX_DURATION_MS = 86_400_000;

/** Why an order is not carried out. */
export type OrderFault = 'unknown-service' | 'duration-out-of-range';

/** The fault of an order; undefined where it can be carried out. */
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
