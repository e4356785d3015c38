/** Distinguishes the crash of a target from a broken link and from reset connections. */
import { queryTarget, type TargetDialect } from '@limelead/forward-request';
import type { TargetConnections } from '@limelead/target-connections';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { Millis, Timers } from '@limelead/types';

/**
 * Timeout of a probe. Short, because the request whose run failed waits for the result. A target
 * whose process ended refuses the connection within a round trip.
 */
const PROBE_TIMEOUT_MS = 250;

/** What the detector uses. */
export interface CrashDetectorOptions {
  timers: Timers;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: TargetDialect;
}

/** Decides from the directory whether a target crashed, and probes it if the directory can't tell. */
export default class CrashDetector {
  /** Probes in progress by target: many runs on one target fail at the same time. */
  private readonly pendingProbes = new Map<string, Promise<boolean>>();

  constructor(private readonly options: CrashDetectorOptions) {}

  /** Whether the target answered after that time of the monotonic clock. */
  hasAnsweredSince(id: string, sinceMs: Millis): boolean {
    return (this.options.directory.get(id)?.health.lastResponseAtMs ?? 0) > sinceMs;
  }

  /** Whether the target has crashed since a run on it failed. */
  hasCrashed(id: string, failedAtMs: Millis): Promise<boolean> {
    const target = this.options.directory.get(id)?.target;
    if (target === undefined) {
      return Promise.resolve(true);
    }
    if (this.hasAnsweredSince(id, failedAtMs)) {
      return Promise.resolve(false);
    }
    const pending = this.pendingProbes.get(id);
    if (pending !== undefined) {
      return pending;
    }
    const { connections, timers, dialect } = this.options;
    const answer = queryTarget(
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
