/** The only source of the pace that placement uses. */
import type TargetDirectory from './target-directory.js';
import type { TrackedServiceTarget } from './tracked-target.js';

/** Present duration of work at a target as a multiple of the usual one, at least 1. */
export default function getPresentPace(
  directory: TargetDirectory,
  tracked: TrackedServiceTarget,
): number {
  return directory.advertisedLoads.paceOf(tracked);
}
