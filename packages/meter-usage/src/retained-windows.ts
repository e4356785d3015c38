/** Keeps a bounded number of windows around the current one. */

/** Number of windows whose counts are retained; older ones are no longer reported. */
export const RETAINED_WINDOWS = 12;
/**
 * Number of windows after the current one that are retained, for VMs whose clock is slightly ahead.
 */
const WINDOWS_AHEAD = 1;

/**
 * Whether a window's counts are retained. Rejecting others keeps old windows and wrong clocks from
 * evicting windows that are not settled yet.
 */
export function isRetained(window: number, current: number): boolean {
  return window > current - RETAINED_WINDOWS && window <= current + WINDOWS_AHEAD;
}

/** Adds a window, and evicts one if there are too many. */
export default function addWindow<Counts>(
  windows: Map<number, Counts>,
  window: number,
  counts: Counts,
  current: number,
): void {
  windows.set(window, counts);
  if (windows.size > RETAINED_WINDOWS + WINDOWS_AHEAD) {
    windows.delete(chooseEvicted([...windows.keys()], current));
  }
}

/** Chooses a window far ahead, left by a wrong clock, or else the oldest. */
function chooseEvicted(windows: readonly number[], current: number): number {
  const ahead = windows.find((window) => window > current + WINDOWS_AHEAD);
  return ahead ?? Math.min(...windows);
}
