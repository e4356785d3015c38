/** Load forecasts from the last seconds of load, compared in `docs/design/05-capacity.md`. */

/** Returns the load to be prepared for, given the load of each second, oldest first. */
export type Forecast = (loads: readonly number[]) => number;

/** Number of seconds averaged together; runs that arrive within them may wait for each other. */
const AVERAGING_SECONDS = 3;
/** Share of the seconds whose load may exceed the forecast before headroom. */
const EXCEEDED_SHARE = 0.1;
/** Weight of the newest second in the moving mean and deviation; 0.2 covers about ten seconds. */
const SMOOTHING_FACTOR = 0.2;
/** Mean deviations added to the mean; the peak of a wave lies about 1.6 above it. */
const DEVIATION_FACTOR = 2;

/**
 * Forecasts the load that nine of ten seconds stay below, plus headroom.
 * @param headroom share to add, such as 0.25 for a quarter more
 */
export function forecastByQuantile(headroom: number): Forecast {
  return (loads) => {
    const sorted = smooth(loads).sort((a, b) => a - b);
    const index = Math.ceil(sorted.length * (1 - EXCEEDED_SHARE)) - 1;
    return (sorted[Math.max(0, index)] ?? 0) * (1 + headroom);
  };
}

/** Forecasts the moving mean plus two moving deviations, plus headroom. */
export function forecastByMeanAndDeviation(headroom: number): Forecast {
  return (loads) => {
    const [first = 0, ...rest] = smooth(loads);
    let mean = first;
    let deviation = 0;
    for (const load of rest) {
      deviation += SMOOTHING_FACTOR * (Math.abs(load - mean) - deviation);
      mean += SMOOTHING_FACTOR * (load - mean);
    }
    return (mean + DEVIATION_FACTOR * deviation) * (1 + headroom);
  };
}

function smooth(loads: readonly number[]): number[] {
  const length = Math.min(AVERAGING_SECONDS, loads.length);
  return Array.from({ length: loads.length - length + 1 }, (_, start) => {
    const averaged = loads.slice(start, start + length);
    return averaged.reduce((sum, load) => sum + load, 0) / Math.max(1, length);
  });
}
