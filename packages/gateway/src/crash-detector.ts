/** Tells the end of a target from a broken link and from a target that resets connections. */
import { askTarget, type TargetDialect } from '@limelead/forward-request';
import type { TargetConnections } from '@limelead/target-connections';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { Millis, Timers } from '@limelead/types';

/**
 * Time for a target to answer, in milliseconds. One whose program ended refuses the connection
 * within the time of the way; the request that waits for the answer is in the meantime held.
 */
const PROBE_TIMEOUT_MS = 250;

/** What telling needs. */
export interface CrashDetectorOptions {
  timers: Timers;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: TargetDialect;
}

/** Looks at what is known of a target, and asks it where that does not decide. */
export default class CrashDetector {
  /** Questions under way, by target: many runs break on one at the same moment. */
  private readonly pendingProbes = new Map<string, Promise<boolean>>();

  constructor(private readonly options: CrashDetectorOptions) {}

  /** Whether any answer came from that incarnation since then; steady time. */
  hasAnsweredSince(id: string, sinceMs: Millis): boolean {
    return (this.options.directory.get(id)?.evidence.heardAtMs ?? 0) > sinceMs;
  }

  /** Whether the incarnation on which a run broke then is over. */
  hasCrashed(id: string, brokeAtMs: Millis): Promise<boolean> {
    const target = this.options.directory.get(id)?.target;
    if (target === undefined) {
      return Promise.resolve(true);
    }
    if (this.hasAnsweredSince(id, brokeAtMs)) {
      return Promise.resolve(false);
    }
    const asked = this.pendingProbes.get(id);
    if (asked !== undefined) {
      return asked;
    }
    const { connections, timers, dialect } = this.options;
    const answer = askTarget(
      { connections, timers, timeoutMs: PROBE_TIMEOUT_MS },
      target,
      dialect.composeProbe(target),
    )
      .then((body) => body === undefined)
      .finally(() => this.pendingProbes.delete(id));
    this.pendingProbes.set(id, answer);
    return answer;
  }
}
