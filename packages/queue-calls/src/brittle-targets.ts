/** What follows for a service from brittle targets, which end if they reject too many calls. */
import { countSlots, type QueueTarget } from './queue-ports.js';

/**
 * Adds to targets that have said nothing yet what the most brittle one of their service says, since
 * a target that has just started may be as brittle as the others.
 */
export function withAssumedBrittleness(targets: readonly QueueTarget[]): readonly QueueTarget[] {
  const stated = targets.flatMap(({ rejectionsPerSecond }) => rejectionsPerSecond ?? []);
  if (stated.length === 0) {
    return targets;
  }
  const fewest = Math.min(...stated);
  return targets.map((target) => ({
    ...target,
    rejectionsPerSecond: target.rejectionsPerSecond ?? fewest,
  }));
}

/** Whether a target ends if it rejects too many calls; then all calls need places. */
export function hasBrittleTarget(targets: readonly QueueTarget[]): boolean {
  return targets.some(({ rejectionsPerSecond }) => rejectionsPerSecond !== undefined);
}

/**
 * Calls that one VM may have in progress without places: its part of the slots, or of one call for
 * each target, which is all that a brittle one certainly accepts.
 */
export function countOwnPart(targets: readonly QueueTarget[], vms: number): number {
  const calls = hasBrittleTarget(targets) ? targets.length : countSlots(targets);
  return Math.max(1, Math.floor(calls / Math.max(1, vms)));
}
