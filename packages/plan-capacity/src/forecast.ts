/**
 * Two pure forecasts of a load from its last seconds, each with room for what nobody
 * foresees. `docs/design/05-capacity.md` compares them.
 */

/** Gives the load to be ready for; the last seconds stand oldest first. */
export type Forecast = (loads: readonly number[]) => number;

/** Seconds that are taken together: runs that come within them may wait for each other. */
const AVERAGING_SECONDS = 3;
/** Part of the seconds that may lie above the forecast before its headroom. */
const EXCEEDED_SHARE = 0.1;
/** Weight of the newest second in level and swing; 0.2 remembers some ten seconds. */
const SMOOTHING_FACTOR = 0.2;
/** Swings above the level: a wave's peak lies about 1.6 mean swings above its level. */
const DEVIATION_FACTOR = 2;

/**
 * The load that nine seconds of ten stay below, times the headroom.
 * @param headroom 0.25: a quarter more than seen
 */
export function forecastByQuantile(headroom: number): Forecast {
  return (loads) => {
    const sorted = smooth(loads).sort((a, b) => a - b);
    const index = Math.ceil(sorted.length * (1 - EXCEEDED_SHARE)) - 1;
    return (sorted[Math.max(0, index)] ?? 0) * (1 + headroom);
  };
}

/** A moving level and two moving swings, times the headroom. */
export function forecastByMeanAndDeviation(headroom: number): Forecast {
  return (loads) => {
    const [first = 0, ...rest] = smooth(loads);
    let level = first;
    let swing = 0;
    for (const load of rest) {
      swing += SMOOTHING_FACTOR * (Math.abs(load - level) - swing);
      level += SMOOTHING_FACTOR * (load - level);
    }
    return (level + DEVIATION_FACTOR * swing) * (1 + headroom);
  };
}

function smooth(loads: readonly number[]): number[] {
  const length = Math.min(AVERAGING_SECONDS, loads.length);
  return Array.from({ length: loads.length - length + 1 }, (_, start) => {
    const together = loads.slice(start, start + length);
    return together.reduce((sum, load) => sum + load, 0) / Math.max(1, length);
  });
}
