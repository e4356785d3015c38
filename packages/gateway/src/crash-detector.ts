/** Distinguishes the crash of a target from a broken link and from reset connections. */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { PortFault } from '@limelead/errors';
import { queryTarget, type TargetDialect } from '@limelead/forward-request';
import type { TargetState } from '@limelead/quarantine-requests';
import type { TargetConnections } from '@limelead/target-connections';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { Clock, Millis, ServiceTarget, Timers } from '@limelead/types';

/**
 * Timeout of a probe. Short, because the request whose run failed waits for the result. A target
 * whose process ended refuses the connection within a round trip.
 */
const PROBE_TIMEOUT_MS = 250;
/** Other targets that are probed if the target does not answer; some of them may be down, too. */
const MAX_OTHERS = 3;
/** Answers may still be read for this time after the target ended, in milliseconds. */
const MAX_ANSWER_DELAY_MS: Millis = 50;

/** What the detector uses. */
export interface CrashDetectorOptions {
  clock: Clock;
  timers: Timers;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: Pick<TargetDialect, 'composeProbe'>;
  log: Pick<DecisionLog, 'write'>;
  /** Whether this VM connected to any target after that time. */
  hasConnectedSince(sinceMs: Millis): boolean;
}

/** Decides from the directory whether a target ended, and probes it if the directory can't tell. */
export default class CrashDetector {
  /** Probes in progress by target: many runs on one target fail at the same time. */
  private readonly pendingProbes = new Map<string, Promise<TargetState>>();

  private readonly logUnconfirmed: RateLimitedLog;

  constructor(private readonly options: CrashDetectorOptions) {
    const { log, clock } = options;
    this.logUnconfirmed = createRateLimitedLog(log, clock, 'crash-unconfirmed');
  }

  /** Whether an answer of the target, sent after that time of the monotonic clock, was read. */
  hasAnsweredSince(id: string, sinceMs: Millis): boolean {
    const { lastResponseAtMs } = this.options.directory.get(id)?.health ?? { lastResponseAtMs: 0 };
    return lastResponseAtMs > sinceMs + MAX_ANSWER_DELAY_MS;
  }

  /** Finds whether the target has ended since a run on it failed. */
  checkTarget(id: string, failedAtMs: Millis): Promise<TargetState> {
    const target = this.options.directory.get(id)?.target;
    if (target === undefined) {
      return Promise.resolve('ended');
    }
    if (this.hasAnsweredSince(id, failedAtMs)) {
      return Promise.resolve('running');
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
   * that time. One that is only silent may be frozen or cut off.
   */
  async hasEnded(id: string, sinceMs: Millis): Promise<boolean> {
    const target = this.options.directory.get(id)?.target;
    if (target === undefined || target.leaving || !(await this.isRefused(target))) {
      return false;
    }
    return (await this.checkTarget(id, sinceMs)) === 'ended';
  }

  private async check(target: ServiceTarget, failedAtMs: Millis): Promise<TargetState> {
    if (await this.probe(target)) {
      return 'running';
    }
    // A VM that has lost its own links reaches no other target either.
    const others = this.chooseOthers(target);
    if (this.options.hasConnectedSince(failedAtMs) || others.length === 0) {
      return 'ended';
    }
    const answers = await Promise.all(others.map((other) => this.probe(other)));
    if (answers.includes(true)) {
      return 'ended';
    }
    const tried = others.map((other) => other.id);
    this.logUnconfirmed({ target: target.id, others: tried });
    return 'unknown';
  }

  /**
   * Other targets, first those that are not suspected, then of other services, whose targets the
   * same request has hardly ended, then of other domains.
   */
  private chooseOthers({ id, service, failureDomain }: ServiceTarget): ServiceTarget[] {
    const { directory } = this.options;
    const others = directory
      .all()
      .map(({ target }) => target)
      .filter((other) => other.id !== id && !other.leaving);
    const rank = (other: ServiceTarget): number =>
      (directory.isSuspected(other.id) ? 4 : 0) +
      (other.service === service ? 2 : 0) +
      (other.failureDomain === failureDomain ? 1 : 0);
    return others.sort((a, b) => rank(a) - rank(b)).slice(0, MAX_OTHERS);
  }

  /** Whether the target's address refuses a new connection. */
  private async isRefused(target: ServiceTarget): Promise<boolean> {
    const { connections, timers, dialect } = this.options;
    let isRefused = false;
    const onFault = (fault: PortFault): void => void ({ isRefused } = fault);
    const options = { connections, timers, timeoutMs: PROBE_TIMEOUT_MS, maxIdleMs: 0, onFault };
    await queryTarget(options, target, dialect.composeProbe(target));
    return isRefused;
  }

  /** Whether the target answers. */
  private async probe(target: ServiceTarget): Promise<boolean> {
    const { connections, timers, dialect } = this.options;
    const options = { connections, timers, timeoutMs: PROBE_TIMEOUT_MS };
    return (await queryTarget(options, target, dialect.composeProbe(target))) !== undefined;
  }
}
