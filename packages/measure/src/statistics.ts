/** Small sums over measured values. */

/** The middle value; the lower one of two; 0 of none. */
export function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/** The sum of all values. */
export function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
