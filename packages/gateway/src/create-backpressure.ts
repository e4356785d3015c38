/** Connects backpressure to the target directory and to the exchange with peers. */
import { Backpressure } from '@limelead/track-backpressure';
import { backgroundTimers } from '@limelead/types';
import type { FleetComponentContext } from './fleet-component.js';

const WHOLE_PERCENT = 100;

/** Creates the backpressure of one VM. */
export default function createBackpressure({
  clock,
  random,
  log,
  metrics,
  directory,
  readExchange,
}: FleetComponentContext): Backpressure {
  return new Backpressure({
    ...{ clock, timers: backgroundTimers, random, log, metrics },
    isListed: (target) => directory.get(target) !== undefined,
    onLeaving: (target) => directory.onAnnouncedLeaving(target),
    publish: (updates, from) => readExchange()?.publishLeaving(updates, from),
    onLoad: (target, load) => {
      const tracked = directory.get(target);
      if (tracked !== undefined) {
        directory.advertisedLoads.record(tracked, load);
        directory.recordAdvertisedPace(target, load.pacePercent / WHOLE_PERCENT);
      }
    },
  });
}
