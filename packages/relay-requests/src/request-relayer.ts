/** Gives requests of services out of reach a slot at another VM. */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { AdmittedRequest, RequestRelay, Slot } from '@limelead/forward-request';
import type { Metrics } from '@limelead/metrics';
import type { ReachTracker } from '@limelead/track-reach';
import { INITIAL_HEALTH } from '@limelead/track-service-targets';
import type { Clock, Random, ServiceTarget } from '@limelead/types';
import chooseHelper, { type HelperCandidate } from './choose-helper.js';
import HelperTable from './helper-table.js';

/** Dependencies of `RequestRelayer`. */
export interface RequestRelayerOptions {
  clock: Clock;
  random: Random;
  log: DecisionLog;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
  reach: Pick<ReachTracker, 'isReached' | 'recordRequest'>;
  /** Addresses "host:port" at which linked VMs that may reach the service accept requests. */
  listHelpers(service: string): readonly string[];
}

/** The relay of one VM. */
export default class RequestRelayer implements RequestRelay {
  private readonly helpers: HelperTable;
  private readonly logUnavailable: RateLimitedLog;
  private openRequests = 0;

  constructor(private readonly options: RequestRelayerOptions) {
    const { clock, log, metrics } = options;
    this.helpers = new HelperTable(clock);
    this.logUnavailable = createRateLimitedLog(log, clock, 'relay-unavailable');
    metrics.gauge('limelead_relayed_requests', () => this.openRequests);
  }

  acquire(admitted: AdmittedRequest, exclude: ReadonlySet<string>): Slot | undefined {
    const { service, isRelayed, request } = admitted;
    const { reach, random, log, metrics } = this.options;
    if (isRelayed === true || reach.isReached(service)) {
      return undefined;
    }
    reach.recordRequest(service);
    const { requestId } = request;
    const linked = this.options.listHelpers(service);
    const candidates = this.helpers
      .listCandidates(service, linked)
      .filter(({ id }) => !exclude.has(id));
    const helper = chooseHelper(candidates, random);
    if (helper === undefined) {
      metrics.count('limelead_relays_total', 1, { outcome: 'unavailable' });
      this.logUnavailable({ requestId, service, linked: linked.length, tried: exclude.size });
      return undefined;
    }
    log.write('request-relayed', {
      requestId,
      service,
      helper: helper.id,
      openRequests: helper.openRequests,
      candidates: candidates.length,
    });
    return this.occupy(service, helper);
  }

  isNeeded({ isRelayed, service }: Pick<AdmittedRequest, 'isRelayed' | 'service'>): boolean {
    const { reach, listHelpers } = this.options;
    const mayRelay = isRelayed !== true && !reach.isReached(service);
    return mayRelay && this.helpers.listCandidates(service, listHelpers(service)).length > 0;
  }

  mustDecline({ isRelayed, service }: Pick<AdmittedRequest, 'isRelayed' | 'service'>): boolean {
    if (isRelayed !== true || this.options.reach.isReached(service)) {
      return false;
    }
    this.options.reach.recordRequest(service);
    return true;
  }

  /** Handles that a connection to a helper opened, or failed to. */
  onConnect({ id }: ServiceTarget, isOpen: boolean): void {
    if (!isOpen) {
      this.helpers.recordUnreachable(id);
    }
  }

  private occupy(service: string, { id }: HelperCandidate): Slot {
    const close = this.helpers.open(id);
    this.openRequests += 1;
    return {
      tracked: {
        target: toHelper(id, service),
        hash: 0,
        health: INITIAL_HEALTH,
        ...{ inFlight: 0, reading: 0, peerRequests: 0, peerReading: 0, lastReadingAtMs: 0 },
        ...{ replicas: 0, peerReplicas: 0 },
      },
      release: (outcome) => {
        close();
        this.openRequests -= 1;
        this.options.metrics.count('limelead_relays_total', 1, { outcome: outcome ?? 'broken' });
        if (outcome === 'rejected') {
          this.helpers.recordDeclined(service, id);
        }
      },
    };
  }
}

/** Describes a helper like a target of the service, so that the forwarders can send to it. */
function toHelper(id: string, service: string): ServiceTarget {
  const colon = id.lastIndexOf(':');
  return {
    id,
    service,
    host: id.slice(0, colon),
    port: Number(id.slice(colon + 1)),
    failureDomain: '',
    slots: Infinity,
    leaving: false,
    isHelper: true,
  };
}
