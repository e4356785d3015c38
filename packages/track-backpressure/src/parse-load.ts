/** Parses the load that a target states: running, waiting, slots and, from some, its pace. */
import type { AdvertisedLoad } from '@limelead/types';
import createUnreadable from './unreadable.js';

const NO_LOAD: AdvertisedLoad = { kind: 'none' };
/** Counts of requests, and a duration in percent; more digits are no plausible value of either. */
const LOAD = /^(\d{1,6}) *, *(\d{1,6}) *, *(\d{1,6})(?: *, *(\d{1,5}))?$/;

/** @param text three or four whole numbers; undefined if the response has no such header */
export default function parseLoad(text: string | undefined): AdvertisedLoad {
  if (text === undefined) {
    return NO_LOAD;
  }
  const [, running, waiting, slots, pace] = LOAD.exec(text.trim()) ?? [];
  const pacePercent = pace === undefined ? undefined : Number(pace);
  if (running === undefined || pacePercent === 0) {
    return createUnreadable(text);
  }
  return {
    kind: 'load',
    running: Number(running),
    waiting: Number(waiting),
    slots: Number(slots),
    pacePercent,
  };
}
