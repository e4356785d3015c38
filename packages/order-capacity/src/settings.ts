/** Capacity settings with their defaults and bounds. */
import type { CapacityPolicy } from '@limelead/plan-capacity';
import * as t from 'io-ts';

/** Settings that an operator may change. */
export interface CapacitySettings extends CapacityPolicy {
  /** Share of the forecast that is added to it; 0.1 adds a tenth. */
  headroom: number;
}

/** Defaults of the settings. */
export const DEFAULT_CAPACITY: CapacitySettings = {
  // The reserve for lost domains also covers jumps of the load.
  headroom: 0,
  // Leaves time for runs that wait during a swing of the load to catch up.
  load: 0.9,
  // A reclaimed domain can lose runs together with their replicas.
  usesSpot: false,
  // Keeps at least one target when all spot targets are reclaimed.
  plainFloor: 1,
  // One late run costs as much as 100 s of a plain target.
  lateRunsPerTargetSecond: 0.01,
};

/** Codec for a number within bounds; other values are probably mistakes of unit. */
function boundedNumber(min: number, max: number): t.Type<number> {
  return new t.Type<number>(
    `a number from ${min} to ${max}`,
    (value): value is number => typeof value === 'number' && value >= min && value <= max,
    (value, context) =>
      typeof value === 'number' && value >= min && value <= max
        ? t.success(value)
        : t.failure(value, context),
    t.identity,
  );
}

/** Codec for the settings; omitted ones keep their defaults. */
export const capacityCodec = t.partial({
  headroom: boundedNumber(0, 3),
  load: boundedNumber(0.05, 1),
  usesSpot: t.boolean,
  plainFloor: boundedNumber(0, 1_000),
  lateRunsPerTargetSecond: boundedNumber(0.000_001, 1_000),
});

/** Returns the settings with defaults for omitted ones. */
export function withCapacityDefaults(
  settings: t.TypeOf<typeof capacityCodec> = {},
): CapacitySettings {
  return { ...DEFAULT_CAPACITY, ...settings };
}
