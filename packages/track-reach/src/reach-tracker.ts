/** Tracks at one VM which services are out of reach, and probes those that requests still ask for. */
import type { DecisionLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import {
  RecentTimes,
  type CancelTimer,
  type Clock,
  type Millis,
  type Random,
  type ServiceTarget,
  type Timers,
} from '@limelead/types';
import isOutOfReach from './is-out-of-reach.js';

/** Time for which a failed connection counts. */
const FAILURE_TTL_MS: Millis = 3_000;
/** Interval of probes while a service is out of reach, and the part of it that is random. */
const PROBE_INTERVAL_MS: Millis = 200;
const PROBE_JITTER_MS: Millis = 100;
/** Share of a service's targets that one round probes; every target is probed within four rounds. */
const PROBED_SHARE = 0.25;
/** Time after its last request for which a service is probed. */
const DEMAND_TTL_MS: Millis = 10_000;

/** Dependencies of `ReachTracker`. */
export interface ReachTrackerOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'gauge'>;
  /** Targets of a service that accept requests. */
  listUsable(service: string): readonly ServiceTarget[];
  /** Opens a connection and closes it; the result is reported like that of any other connection. */
  probe(target: ServiceTarget): void;
  /** A service is out of reach from now on, or no longer. */
  onChanged?(service: string, isReached: boolean): void;
}

interface ServiceReach {
  failures: RecentTimes;
  /** -Infinity before the first connection that opened. */
  lastConnectedAtMs: Millis;
  /** Undefined while the service is reached. */
  unreachedSinceMs: Millis | undefined;
  lastRequestAtMs: Millis;
  /** Position of the next probe among the targets. */
  nextProbe: number;
  cancelProbe: CancelTimer | undefined;
}

/** The reach of one VM. */
export default class ReachTracker {
  private readonly services = new Map<string, ServiceReach>();

  constructor(private readonly options: ReachTrackerOptions) {
    options.metrics.gauge('limelead_unreached_services', () => this.listUnreached().length);
  }

  /** Whether connections to the targets of a service open, as far as is known. */
  isReached(service: string): boolean {
    return this.services.get(service)?.unreachedSinceMs === undefined;
  }

  /** Whether the target failed to connect and nothing has connected to its service since. */
  isDoubtful({ id, service }: ServiceTarget): boolean {
    return this.services.get(service)?.failures.ageMs(id, this.now) !== undefined;
  }

  /** Whether a connection to any target is known to have opened after that time. */
  hasConnectedSince(sinceMs: Millis): boolean {
    return [...this.services.values()].some(({ lastConnectedAtMs }) => lastConnectedAtMs > sinceMs);
  }

  /** Records a request for a service; a service out of reach is probed while there are any. */
  recordRequest(service: string): void {
    const reach = this.services.get(service);
    if (reach?.unreachedSinceMs !== undefined) {
      reach.lastRequestAtMs = this.now;
      this.scheduleProbes(service, reach);
    }
  }

  /** The services that are out of reach. */
  listUnreached(): string[] {
    return [...this.services].flatMap(([service, { unreachedSinceMs }]) =>
      unreachedSinceMs === undefined ? [] : [service],
    );
  }

  onConnected({ service }: ServiceTarget): void {
    const reach = this.getReach(service);
    reach.lastConnectedAtMs = this.now;
    if (reach.failures.size > 0) {
      reach.failures = new RecentTimes(FAILURE_TTL_MS);
    }
    if (reach.unreachedSinceMs !== undefined) {
      const unreachedMs = this.now - reach.unreachedSinceMs;
      reach.unreachedSinceMs = undefined;
      reach.cancelProbe?.();
      reach.cancelProbe = undefined;
      this.report(service, { isReached: true, unreachedMs: Math.round(unreachedMs) });
    }
  }

  onConnectFailed({ id, service }: ServiceTarget): void {
    const reach = this.getReach(service);
    reach.failures.record(id, this.now);
    if (reach.unreachedSinceMs === undefined) {
      this.decide(service, reach);
    }
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private decide(service: string, reach: ServiceReach): void {
    const usable = this.options.listUsable(service);
    const failed = usable.filter(({ id }) => reach.failures.ageMs(id, this.now) !== undefined);
    // A service that has connected since shows that only the targets of the other one are down.
    const isOtherServiceOutOfReach = [...this.services.values()].some(
      ({ unreachedSinceMs }) =>
        unreachedSinceMs !== undefined && unreachedSinceMs > reach.lastConnectedAtMs,
    );
    if (isOutOfReach({ usable, failed, isOtherServiceOutOfReach })) {
      reach.unreachedSinceMs = this.now;
      this.report(service, {
        isReached: false,
        targets: usable.length,
        failed: failed.map(({ id }) => id),
        connectedAgoMs: toAge(this.now - reach.lastConnectedAtMs),
      });
    }
  }

  private report(
    service: string,
    fields: { isReached: boolean } & Parameters<DecisionLog['write']>[1],
  ): void {
    this.options.log.write('reach-changed', { service, ...fields });
    this.options.onChanged?.(service, fields.isReached);
  }

  private scheduleProbes(service: string, reach: ServiceReach): void {
    const { timers, random } = this.options;
    const delayMs = PROBE_INTERVAL_MS + random.next() * PROBE_JITTER_MS;
    reach.cancelProbe ??= timers.after(delayMs, () => {
      reach.cancelProbe = undefined;
      if (this.now - reach.lastRequestAtMs < DEMAND_TTL_MS) {
        this.scheduleProbes(service, reach);
        this.probe(service, reach);
      }
    });
  }

  private probe(service: string, reach: ServiceReach): void {
    const targets = this.options.listUsable(service);
    const count = Math.ceil(targets.length * PROBED_SHARE);
    for (let probed = 0; probed < count; probed += 1) {
      const target = targets[reach.nextProbe % targets.length];
      reach.nextProbe += 1;
      if (target !== undefined) {
        this.options.probe(target);
      }
    }
  }

  private getReach(service: string): ServiceReach {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const reach: ServiceReach = {
      failures: new RecentTimes(FAILURE_TTL_MS),
      lastConnectedAtMs: -Infinity,
      unreachedSinceMs: undefined,
      lastRequestAtMs: this.now,
      nextProbe: 0,
      cancelProbe: undefined,
    };
    this.services.set(service, reach);
    return reach;
  }
}

/** Undefined if the time is unknown. */
function toAge(ageMs: Millis): Millis | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
