/** Moves a service's traffic to a new version, or rolls it back, as roll-out orders demand. */
import type { AdmittedRequest, TargetGate, TrafficObserver } from '@limelead/forward-request';
import type { Duty } from '@limelead/hold-duty';
import {
  EVIDENCE_TTL_SHARE,
  RollOutController,
  StepWriter,
  type AggregatedEvidence,
  type VmEvidence,
} from '@limelead/run-roll-outs';
import type { PeerReport } from '@limelead/share-evidence';
import type { Millis, ServiceTarget } from '@limelead/types';
import { randomUUID } from 'node:crypto';
import createDutyComponent, { type DutyComponent } from './duty-component.js';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';
import formatAddress from './format-address.js';
import { ROLL_OUT_DUTY_KEY } from './store-keys.js';

/** Interval at which evidence on versions is exchanged. */
const ROUND_INTERVAL_MS = 500;
/**
 * Minimum number of VMs assumed to share the exposure slack, so that a VM that has just
 * started doesn't use all of it.
 */
const MIN_VMS = 6;
/** TTL of the lease for writing roll-out steps; a crashed writer is replaced after it. */
const WRITER_LEASE_MS = 3_000;

/** A component whose gate decides which targets may receive a request. */
export interface RollOutComponent extends FleetComponent {
  gate: TargetGate;
}

/**
 * Creates the component. Without a roll-out order and with a single version it makes no
 * calls and sends nothing to peers.
 */
export default function createRollOutComponent(
  context: FleetComponentContext,
  duty: Duty | undefined,
): RollOutComponent {
  return new RollOutDriver(context, duty);
}

class RollOutDriver implements RollOutComponent {
  readonly observer: TrafficObserver;
  readonly gate: TargetGate;
  private readonly rollOuts: RollOutController;
  private readonly incarnation = randomUUID();
  /** Duty for writing roll-out steps, used if the platform configures no duties. */
  private ownDuty: DutyComponent | undefined;
  private processedRevision = 0;
  private maxVmCount = 1;
  /** When a peer last reported on versions. */
  private lastReportAtMs: Millis = -Infinity;
  private isRoundScheduled = false;
  private isStopping = false;

  constructor(
    private readonly context: FleetComponentContext,
    private readonly sharedDuty: Duty | undefined,
  ) {
    this.rollOuts = this.createRollOuts();
    this.gate = this.createGate();
    this.observer = {
      onAttemptEnded: (admitted, target, { isGood, afterMs }) =>
        this.recordAttempt(admitted, target, isGood, afterMs),
      onAttemptAbandoned: (admitted, target, afterMs) =>
        this.recordAttempt(admitted, target, true, afterMs),
    };
  }

  start(): void {
    this.onStoreViewChange();
  }

  /** Reads orders, steps and targets again, once per store revision. */
  onStoreViewChange(): void {
    const { storeView, directory } = this.context;
    if (!storeView.isComplete || storeView.revision === this.processedRevision) {
      return;
    }
    this.processedRevision = storeView.revision;
    this.rollOuts.onSnapshot({
      orders: storeView.listRollOutOrders(),
      steps: storeView.listRollOutSteps(),
      targets: directory.all().map(({ target }) => target),
    });
    this.runRounds();
  }

  onReport(_peer: string, report: PeerReport): void {
    if (report.kind === 'version-evidence' || report.kind === 'version-total') {
      this.lastReportAtMs = this.context.clock.now();
    }
    if (report.kind === 'version-evidence') {
      this.rollOuts.onEvidence(report.incarnation, report);
    } else if (report.kind === 'version-total') {
      this.rollOuts.onAggregatedEvidence(report);
    }
  }

  async handOver(): Promise<void> {
    this.isStopping = true;
    await this.ownDuty?.handOver();
  }

  private runRounds(): void {
    if (this.isRoundScheduled || this.isStopping || !this.rollOuts.isActive) {
      return;
    }
    this.isRoundScheduled = true;
    if (this.sharedDuty === undefined && this.ownDuty === undefined) {
      this.ownDuty = createDutyComponent(this.context, {
        leaseMs: WRITER_LEASE_MS,
        key: ROLL_OUT_DUTY_KEY,
      });
      this.ownDuty.start();
    }
    this.rollOuts.runRound();
    this.context.timers.after(ROUND_INTERVAL_MS, () => {
      this.isRoundScheduled = false;
      if (this.rollOuts.isActive) {
        this.runRounds();
      } else {
        this.releaseDuty();
      }
    });
  }

  private releaseDuty(): void {
    void this.ownDuty?.handOver();
    this.ownDuty = undefined;
  }

  private recordAttempt(
    { route }: AdmittedRequest,
    target: ServiceTarget,
    isGood: boolean,
    afterMs: Millis,
  ): void {
    this.rollOuts.recordOutcome({ route: route.name, target, isGood, afterMs });
  }

  private createRollOuts(): RollOutController {
    const { context } = this;
    const { settings, platform, clock, random, log, metrics, directory, storeView } = context;
    return new RollOutController({
      clock,
      random,
      log,
      metrics,
      bounds: settings.rollOut,
      incarnation: this.incarnation,
      writer: new StepWriter({
        store: platform.storeItems,
        log,
        duty: {
          permit: (arrivalMs) => (this.sharedDuty ?? this.ownDuty?.duty)?.permit(arrivalMs),
        },
        composeState: platform.storeDialect.composeRollOutState,
      }),
      isService: (name) => storeView.routes?.findService(name) !== undefined,
      listTargets: () => directory.all(),
      isSuspected: (id) => directory.isSuspected(id),
      countVms: () => Math.max(MIN_VMS, this.vmCount),
      countReportingVms: () => this.vmCount,
      isUpToDate: () => this.hasFreshState,
      isAggregator: () => this.isAggregator(),
      sendToAggregators: (evidence) => this.sendToAggregators(evidence),
      broadcast: (aggregated) => this.broadcast(aggregated),
    });
  }

  /** The highest number of VMs seen so far: isolated VMs keep their share of the slack. */
  private get vmCount(): number {
    this.maxVmCount = Math.max(this.maxVmCount, this.context.readExchange()?.totalVmCount ?? 1);
    return this.maxVmCount;
  }

  /** Whether the store view is recent and, if there are other VMs, a peer has reported recently. */
  private get hasFreshState(): boolean {
    const { settings, clock, readStoreViewAgeMs } = this.context;
    const hasRecentReport =
      clock.now() - this.lastReportAtMs < settings.rollOut.rollBackMs * EVIDENCE_TTL_SHARE;
    return (
      readStoreViewAgeMs() <= settings.configurationWithinMs &&
      (hasRecentReport || this.vmCount === 1)
    );
  }

  private isAggregator(): boolean {
    const { settings } = this.context;
    const candidates = this.context.readExchange()?.dutyCandidates ?? [];
    return (
      candidates.length === 0 ||
      settings.peers === undefined ||
      candidates.includes(formatAddress(settings.peers))
    );
  }

  private sendToAggregators(evidence: VmEvidence): void {
    const { incarnation } = this;
    this.context
      .readExchange()
      ?.sendReportToDutyCandidates({ kind: 'version-evidence', incarnation, ...evidence });
  }

  private broadcast(aggregated: AggregatedEvidence): void {
    this.context.readExchange()?.sendReportToLinkedPeers({ kind: 'version-total', ...aggregated });
  }

  private createGate(): TargetGate {
    const { rollOuts } = this;
    // A request may arrive after the store view changed and before `onStoreViewChange` is called.
    const current = (): RollOutController => {
      this.onStoreViewChange();
      return rollOuts;
    };
    return {
      groupByPreference: (service, targets, isRetry) =>
        current().groupByPreference(service, targets, isRetry),
      isAllowed: (target) => current().isAllowed(target),
      ignoresAdvice: (service) => current().shouldSendTrial(service),
      listAdvisable: (service, targets) => current().listAdvisable(service, targets),
      recordSend: (target) => rollOuts.recordSend(target),
    };
  }
}
