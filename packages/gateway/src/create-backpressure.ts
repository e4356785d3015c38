/** Connects backpressure to the target directory and to the exchange with peers. */
import { Backpressure } from '@limelead/track-backpressure';
import { backgroundTimers } from '@limelead/types';
import type { FleetComponentContext } from './fleet-component.js';

/** Stated pace of a target whose work takes the usual time. */
const USUAL_PERCENT = 100;

type BackpressureContext = Pick<
  FleetComponentContext,
  'clock' | 'random' | 'log' | 'metrics' | 'directory' | 'readExchange'
>;

/** Creates the backpressure of one VM. */
export default function createBackpressure({
  clock,
  random,
  log,
  metrics,
  directory,
  readExchange,
}: BackpressureContext): Backpressure {
  return new Backpressure({
    ...{ clock, timers: backgroundTimers, random, log, metrics },
    isListed: (target) => directory.get(target) !== undefined,
    onLeaving: (target) => directory.onAnnouncedLeaving(target),
    publish: (updates, from) => readExchange()?.publishLeaving(updates, from),
    publishBrittle: (updates, from) => readExchange()?.targetUpdates.publishBrittle(updates, from),
    onLoad: (target, load) => {
      const tracked = directory.get(target);
      if (tracked !== undefined) {
        directory.advertisedLoads.record(tracked, load);
        directory.recordAdvertisedPace(target, load.pacePercent / USUAL_PERCENT);
      }
    },
  });
}
