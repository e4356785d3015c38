/** The only source of the pace that placement uses. */
import type TargetDirectory from './target-directory.js';
import type { TrackedServiceTarget } from './tracked-target.js';

/**
 * Present duration of work at a target as a multiple of the usual one, at least 1: the slower of what
 * the last half second of pieces shows and of what the target states, or the VMs report if it states
 * nothing.
 */
export default function getPresentPace(
  directory: TargetDirectory,
  tracked: TrackedServiceTarget,
): number {
  return Math.max(directory.paceOf(tracked.target.id), directory.advertisedLoads.paceOf(tracked));
}
