/** Statistics over measured values. */

/** Returns the median, the lower of two middle values, or 0 for an empty list. */
export function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

export function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
