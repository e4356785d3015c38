/** Keeps a bounded number of windows, those around the present one. */

/** Windows whose counts are kept: what is later by more is not reported any more. */
export const RETAINED_WINDOWS = 12;
/** Windows ahead of the present one that are kept too, for VMs whose time is a little ahead. */
const WINDOWS_AHEAD = 1;

/**
 * Whether counts of a window are of use. What a VM that has little traffic kept from long ago,
 * or counted by a wrong clock, would push out windows that are yet to be settled.
 */
export function isRetained(window: number, present: number): boolean {
  return window > present - RETAINED_WINDOWS && window <= present + WINDOWS_AHEAD;
}

/** Opens a window, and forgets one where there are too many. */
export default function addWindow<Book>(
  windows: Map<number, Book>,
  window: number,
  book: Book,
  present: number,
): void {
  windows.set(window, book);
  if (windows.size > RETAINED_WINDOWS + WINDOWS_AHEAD) {
    windows.delete(chooseEvicted([...windows.keys()], present));
  }
}

/** One far ahead, which a wrong clock left behind; else the oldest. */
function chooseEvicted(windows: readonly number[], present: number): number {
  const ahead = windows.find((window) => window > present + WINDOWS_AHEAD);
  return ahead ?? Math.min(...windows);
}
