/**
 * Pure decision: which VMs stand for duties that only one VM at a time may do. Every VM
 * is linked to them, so that they can be told what a duty needs.
 */
import type { Schedulers } from './choose-schedulers.js';
import type { PeerId } from './types.js';

/** Candidates of a small fleet, in which all VMs are linked: one that holds, one that stands by. */
const SMALL_FLEET_CANDIDATES = 2;

/** Takes the schedulers, or in a small fleet the last VMs of the ranking that all VMs share. */
export default function chooseDutyCandidates(
  ranking: readonly PeerId[],
  schedulers: Schedulers,
): readonly PeerId[] {
  return schedulers.length > 0 ? schedulers.flat() : ranking.slice(-SMALL_FLEET_CANDIDATES);
}
