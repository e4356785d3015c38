/** Settings of capacity: their units, defaults and bounds. */
import type { CapacityPolicy } from '@limelead/plan-capacity';
import * as t from 'io-ts';

/** Settings that an operator may change. */
export interface CapacitySettings extends CapacityPolicy {
  /** Part of the forecast that is added to it; 0.1 is a tenth more. */
  headroom: number;
}

/** What holds where an operator decides nothing. */
export const DEFAULT_CAPACITY: CapacitySettings = {
  // The reserve for lost domains carries a jump of the load too: both seldom meet.
  headroom: 0,
  // Runs that read beside each other wait; at nine tenths they still catch up with a swing.
  load: 0.9,
  // When a domain's spot targets are taken away, copies of runs go with those that keep them.
  usesSpot: false,
  // A service is never without any target, whatever becomes of its spot ones.
  plainFloor: 1,
  // A caller who has to come back costs as much as a target in 100 s.
  lateRunsPerTargetSecond: 0.01,
};

/** A number in its bounds; others are mistakes of unit. */
function boundedNumber(least: number, most: number): t.Type<number> {
  return new t.Type<number>(
    `a number from ${least} to ${most}`,
    (value): value is number => typeof value === 'number' && value >= least && value <= most,
    (value, context) =>
      typeof value === 'number' && value >= least && value <= most
        ? t.success(value)
        : t.failure(value, context),
    t.identity,
  );
}

/** Checks the settings; what is left out keeps the product's default. */
export const capacityCodec = t.partial({
  headroom: boundedNumber(0, 3),
  load: boundedNumber(0.05, 1),
  usesSpot: t.boolean,
  plainFloor: boundedNumber(0, 1_000),
  lateRunsPerTargetSecond: boundedNumber(0.000_001, 1_000),
});

/** Fills in the defaults. */
export function withCapacityDefaults(
  settings: t.TypeOf<typeof capacityCodec> = {},
): CapacitySettings {
  return { ...DEFAULT_CAPACITY, ...settings };
}
