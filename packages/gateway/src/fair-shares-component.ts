/** Fair shares of organisations: those of requests that wait at this VM, and those of queue VMs. */
import { FairShares, ReportedShares, type ShareOrder } from '@limelead/admit-request';
import type { AdmittedRequest, RequestShares, TrafficObserver } from '@limelead/forward-request';
import type { PeerId } from '@limelead/share-evidence';
import type { Millis, ServiceDemand } from '@limelead/types';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';

/** Services of which the demand is kept; a configuration has fewer, and a peer may name others. */
const MAX_SERVICES = 64;

interface ServiceShares {
  shares: FairShares;
  reported: ReportedShares;
}

type FairSharesContext = Pick<FleetComponentContext, 'clock' | 'log' | 'metrics'>;

/** Counts the demand at this VM and that of its peers. */
export default class FairSharesComponent implements FleetComponent, RequestShares {
  private readonly services = new Map<string, ServiceShares>();
  /** Requests that have had a slot: further attempts are not served requests. */
  private readonly served = new WeakSet<AdmittedRequest>();

  readonly observer: TrafficObserver = {
    onAdmitted: ({ service, organisation }) =>
      this.open(service)?.shares.recordArrival(organisation, this.context.clock.now()),
  };

  constructor(private readonly context: FairSharesContext) {}

  excessOf({ service, organisation }: AdmittedRequest, now: Millis): number {
    return this.services.get(service)?.reported.excessOf(organisation, now) ?? 0;
  }

  recordServed(admitted: AdmittedRequest, now: Millis): void {
    if (!this.served.has(admitted)) {
      this.served.add(admitted);
      this.services.get(admitted.service)?.reported.recordServed(now);
    }
  }

  recordWait({ service, organisation }: AdmittedRequest, now: Millis): void {
    this.services.get(service)?.reported.recordWait(organisation, now);
  }

  recordRefusal({ service, organisation }: AdmittedRequest, now: Millis): void {
    this.services.get(service)?.reported.recordRefusal(organisation, now);
  }

  /** Creates the shares of the calls that wait in the queue of all VMs, which sees all of them. */
  createQueueShares(service: string): ShareOrder {
    const { log, metrics } = this.context;
    return new ReportedShares({ service, queue: 'fleet', shares: new FairShares(), log, metrics });
  }

  /** Demand at this VM, for its peers. */
  readDemand(): ServiceDemand[] {
    const now = this.context.clock.now();
    return [...this.services].flatMap(
      ([service, { shares }]) => shares.summarise(service, now) ?? [],
    );
  }

  /** Records the demand at a peer. */
  onPeerDemand(peer: PeerId, demands: readonly ServiceDemand[]): void {
    const now = this.context.clock.now();
    demands.forEach((demand) => this.open(demand.service)?.shares.onPeerDemand(peer, demand, now));
  }

  start(): void {
    // Nothing to start: demand is counted with each request.
  }

  handOver(): Promise<void> {
    return Promise.resolve();
  }

  private open(service: string): ServiceShares | undefined {
    const known = this.services.get(service);
    if (known !== undefined || this.services.size >= MAX_SERVICES) {
      return known;
    }
    const { log, metrics } = this.context;
    const shares = new FairShares();
    const reported = new ReportedShares({ service, queue: 'vm', shares, log, metrics });
    const created = { shares, reported };
    this.services.set(service, created);
    return created;
  }
}
