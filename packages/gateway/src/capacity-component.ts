/** Counts the demand at this VM, reports it to the duty candidates, and orders targets as duty holder. */
import type { AdmittedRequest, TrafficObserver } from '@limelead/forward-request';
import type { Duty } from '@limelead/hold-duty';
import { CapacityController, DemandTracker, type ServiceDemand } from '@limelead/order-capacity';
import type { DutyPlatform } from '@limelead/ports';
import type { PeerReport } from '@limelead/share-evidence';
import type { Millis } from '@limelead/types';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';
import type { DutySettings } from './settings.js';

/** Interval of the demand reports of this VM. */
const REPORT_INTERVAL_MS = 1_000;

/** What the component needs besides its context. */
export interface CapacityComponentOptions {
  duties: DutySettings;
  duty: Duty;
  dutyPlatform: DutyPlatform;
}

/** Creates the component that counts demand and orders targets. */
export default function createCapacityComponent(
  context: FleetComponentContext,
  { duties, duty, dutyPlatform }: CapacityComponentOptions,
): FleetComponent {
  const { settings, clock, timers, log, metrics, directory, storeView } = context;
  const demand = new DemandTracker();
  const counts = new DemandCounter(context);
  const ordering = new CapacityController({
    duty,
    platform: dutyPlatform,
    clock,
    timers,
    log,
    metrics,
    settings: settings.capacity,
    callsPerSecond: duties.callsPerSecond,
    demand,
    listServices: () => storeView.routes?.listServices() ?? [],
    listTargets: (service) =>
      directory.all().flatMap(({ target }) => (target.service === service ? [target] : [])),
  });

  function scheduleReport(): void {
    timers.after(REPORT_INTERVAL_MS, () => {
      const report = counts.createReport();
      if (report !== undefined) {
        demand.recordReport(settings.vm, report, clock.now());
        context.readExchange()?.sendReportToDutyCandidates(report);
      }
      scheduleReport();
    });
  }

  return {
    observer: counts.observer,
    onReport: (peer, report) => {
      if (report.kind === 'demand') {
        demand.recordReport(peer, report, clock.now());
      }
    },
    start: () => {
      scheduleReport();
      ordering.start();
    },
    handOver: async () => ordering.stop(),
  };
}

/** A request that is counted until it finishes. */
interface CountedRequest {
  /** The counts it belongs to; kept, because its service may be removed while it runs. */
  counts: ServiceDemand;
  /** Attempts that a target started. */
  startedAttempts: number;
}

/** Counts this VM's requests per service, for services with scaling. */
class DemandCounter {
  private readonly incarnation: string;
  private readonly services = new Map<string, ServiceDemand>();
  private readonly requests = new Map<object, CountedRequest>();

  constructor(private readonly context: FleetComponentContext) {
    this.incarnation = `${context.settings.vm} ${context.random.next()}`;
  }

  readonly observer: TrafficObserver = {
    onAdmitted: (admitted) => {
      const counts = this.countsOf(admitted.service);
      if (counts !== undefined) {
        this.requests.set(admitted, { counts, startedAttempts: 0 });
        counts.arrived += 1;
        counts.promptTokens += admitted.request.promptTokens;
        counts.waiting += 1;
      }
    },
    onRunStarted: (admitted) => {
      const counted = this.requests.get(admitted);
      if (counted === undefined) {
        return;
      }
      counted.startedAttempts += 1;
      if (counted.startedAttempts === 1) {
        counted.counts.waiting -= 1;
        counted.counts.running += 1;
      }
    },
    onAttemptEnded: (admitted, _, { isGood, afterMs }) => {
      // A run that resumes at another target processes little or nothing of its prompt.
      if (isGood && this.requests.get(admitted)?.startedAttempts === 1) {
        this.recordPromptPace(admitted, afterMs);
      }
    },
    onFinished: (admitted) => {
      const counted = this.requests.get(admitted);
      if (counted !== undefined) {
        this.requests.delete(admitted);
        counted.counts[counted.startedAttempts > 0 ? 'running' : 'waiting'] -= 1;
      }
    },
  };

  /** Undefined if no service has scaling. */
  createReport(): Extract<PeerReport, { kind: 'demand' }> | undefined {
    const services = this.listScaledServices().flatMap(({ name }) => {
      const counts = this.countsOf(name);
      // Copied, because the counts change while the report is kept or sent.
      return counts === undefined ? [] : [{ ...counts }];
    });
    return services.length === 0
      ? undefined
      : { kind: 'demand', incarnation: this.incarnation, services };
  }

  private recordPromptPace({ service, request }: AdmittedRequest, afterMs: Millis): void {
    const counts = this.countsOf(service);
    if (counts !== undefined && request.lastPiece === 0) {
      counts.begunTokens += request.promptTokens;
      counts.begunMs += afterMs;
    }
  }

  private listScaledServices() {
    const services = this.context.storeView.routes?.listServices() ?? [];
    return services.filter(({ scaling }) => scaling !== undefined);
  }

  private countsOf(service: string): ServiceDemand | undefined {
    if (this.context.storeView.routes?.findService(service)?.scaling === undefined) {
      return undefined;
    }
    const counts = this.services.get(service) ?? {
      service,
      ...{ arrived: 0, promptTokens: 0, running: 0, waiting: 0, begunTokens: 0, begunMs: 0 },
    };
    this.services.set(service, counts);
    return counts;
  }
}
