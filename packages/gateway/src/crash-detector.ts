/** Distinguishes the crash of a target from a broken link and from reset connections. */
import type { DecisionLog } from '@limelead/decision-log';
import { queryTarget, type TargetDialect } from '@limelead/forward-request';
import type { TargetConnections } from '@limelead/target-connections';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { Millis, ServiceTarget, Timers } from '@limelead/types';

/**
 * Timeout of a probe. Short, because the request whose run failed waits for the result. A target
 * whose process ended refuses the connection within a round trip.
 */
const PROBE_TIMEOUT_MS = 250;
/** Other targets that are probed if the target does not answer; some of them may be down, too. */
const MAX_OTHERS = 3;

/** What the detector uses. */
export interface CrashDetectorOptions {
  timers: Timers;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: Pick<TargetDialect, 'composeProbe'>;
  log: Pick<DecisionLog, 'write'>;
  /** Whether this VM connected to any target of the service after that time. */
  hasConnectedSince(service: string, sinceMs: Millis): boolean;
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
    const answer = this.check(target, failedAtMs).finally(() => this.pendingProbes.delete(id));
    this.pendingProbes.set(id, answer);
    return answer;
  }

  /**
   * Whether a target that is in the directory and did not announce that it leaves has ended since
   * that time.
   */
  async hasEnded(id: string, sinceMs: Millis): Promise<boolean> {
    const target = this.options.directory.get(id)?.target;
    return target?.leaving === false && (await this.hasCrashed(id, sinceMs));
  }

  private async check(target: ServiceTarget, failedAtMs: Millis): Promise<boolean> {
    if (await this.probe(target)) {
      return false;
    }
    // A VM that has lost its own links reaches no other target either.
    const { service, id } = target;
    const others = this.chooseOthers(target);
    if (this.options.hasConnectedSince(service, failedAtMs) || others.length === 0) {
      return true;
    }
    const answers = await Promise.all(others.map((other) => this.probe(other)));
    const isCrash = answers.includes(true);
    if (!isCrash) {
      const tried = others.map((other) => other.id);
      this.options.log.write('crash-unconfirmed', { target: id, others: tried });
    }
    return isCrash;
  }

  /** Other targets of the service, first those that are not suspected, then of other domains. */
  private chooseOthers({ id, service, failureDomain }: ServiceTarget): ServiceTarget[] {
    const { directory } = this.options;
    const others = directory
      .listUsable(service)
      .map(({ target }) => target)
      .filter((other) => other.id !== id);
    const rank = (other: ServiceTarget): number =>
      (directory.isSuspected(other.id) ? 2 : 0) + (other.failureDomain === failureDomain ? 1 : 0);
    return others.sort((a, b) => rank(a) - rank(b)).slice(0, MAX_OTHERS);
  }

  /** Whether the target answers. */
  private async probe(target: ServiceTarget): Promise<boolean> {
    const { connections, timers, dialect } = this.options;
    const options = { connections, timers, timeoutMs: PROBE_TIMEOUT_MS };
    return (await queryTarget(options, target, dialect.composeProbe(target))) !== undefined;
  }
}
