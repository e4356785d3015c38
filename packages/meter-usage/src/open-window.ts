/** Keeps a bounded number of windows. */

/** Windows whose counts are kept: what is later by more is not reported any more. */
export const KEPT_WINDOWS = 12;

/**
 * Opens a window, and forgets the one that was opened first where there are too many. A VM
 * whose clock was wrong when it started so pushes out one window, not all before its own.
 */
export default function openWindow<Book>(
  windows: Map<number, Book>,
  window: number,
  book: Book,
): void {
  windows.set(window, book);
  const [first] = windows.keys();
  if (windows.size > KEPT_WINDOWS && first !== undefined) {
    windows.delete(first);
  }
}
