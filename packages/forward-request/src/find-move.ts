/** Finds out whether a silent run could move to its replica. */
import type { TargetDirectory } from '@limelead/track-service-targets';
import { runsSoftwareVersion, softwareVersionOf, type Millis } from '@limelead/types';
import type { PossibleMove } from './assess-silence.js';
import type { MonitoredRun } from './monitored-run.js';

/** Share of the allowed pause before which no move is considered. */
const MIN_PAUSE_SHARE = 0.4;

/** State on which a move depends. */
export interface MoveContext {
  directory: TargetDirectory;
  now: Millis;
  /** Expected time from a resumed send to its first piece. */
  resumeMs: Millis;
}

/**
 * Returns the possible move; undefined early in the pause, if the request may not run at another
 * target, or if the replica's target is slow, full, leaving, suspected or prefills a prompt.
 */
export default function findMove(
  run: MonitoredRun,
  { directory, now, resumeMs }: MoveContext,
): PossibleMove | undefined {
  const pauseMs = now - run.pausedSinceMs;
  const isEarly = pauseMs < run.maxPauseMs * MIN_PAUSE_SHARE;
  if (!run.isWriting || isEarly || !hasGoodReplica(run, directory) || !run.canMove()) {
    return undefined;
  }
  return { pauseMs, resumeMs, expectedGapMs: run.expectedGapMs() };
}

function hasGoodReplica({ replicaTarget }: MonitoredRun, directory: TargetDirectory): boolean {
  const tracked = replicaTarget && directory.get(replicaTarget.id);
  if (tracked === undefined || replicaTarget === undefined) {
    return false;
  }
  const { id, service, failureDomain, leaving, slots } = tracked.target;
  return (
    runsSoftwareVersion(tracked.target, softwareVersionOf(replicaTarget)) &&
    !leaving &&
    !directory.isSuspected(id) &&
    !directory.isDomainSuspected(service, failureDomain) &&
    !directory.pace.hasPrefill(id) &&
    directory.paceOf(id) === 1 &&
    tracked.inFlight + tracked.peerRequests < slots
  );
}
