/** The part that moves a service's traffic to a new version, or back, as an order asks. */
import type { AdmittedRequest, TargetGate, TrafficObserver } from '@limelead/forward-request';
import type { Duty } from '@limelead/hold-duty';
import {
  HEARD_PART,
  RollOuts,
  StepWriter,
  type GatheredEvidence,
  type VmEvidence,
} from '@limelead/run-roll-outs';
import type { PeerReport } from '@limelead/share-evidence';
import type { Millis, ServiceTarget } from '@limelead/types';
import { randomUUID } from 'node:crypto';
import createDutyPart, { type DutyPart } from './duty-part.js';
import type { FleetPart, FleetPartContext } from './fleet-part.js';
import formatAddress from './format-address.js';
import { ROLL_OUT_DUTY_KEY } from './own-keys.js';

/** Time between two rounds of evidence: a bad version is left within two of them and a look. */
const ROUND_MS = 500;
/**
 * VMs assumed to share the slack while nobody told of more; too few would let a VM that
 * has just started take all of it.
 */
const LEAST_VMS = 6;
/** Time for which the right to write lasts without renewal: a dead writer is replaced within it. */
const WRITER_LEASE_MS = 3_000;

/** A part that also decides where requests may go. */
export interface RollOutPart extends FleetPart {
  gate: TargetGate;
}

/**
 * Creates the part. Without an order and with one version it makes no calls and tells peers
 * nothing; it looks at what is known once for each revision of the store.
 */
export default function createRollOutPart(
  context: FleetPartContext,
  duty: Duty | undefined,
): RollOutPart {
  return new RollOutParts(context, duty);
}

class RollOutParts implements RollOutPart {
  readonly observer: TrafficObserver;
  readonly gate: TargetGate;
  private readonly rollOuts: RollOuts;
  private readonly incarnation = randomUUID();
  /** The right to write of this part alone, where the platform names no duties. */
  private ownDuty: DutyPart | undefined;
  private knownRevision = 0;
  private mostVms = 1;
  /** When another VM last told of a roll-out. */
  private heardAtMs: Millis = -Infinity;
  private isRunning = false;
  private isStopping = false;

  constructor(
    private readonly context: FleetPartContext,
    private readonly sharedDuty: Duty | undefined,
  ) {
    this.rollOuts = this.createRollOuts();
    this.gate = this.createGate();
    this.observer = {
      onSendEnded: (admitted, target, { isGood, afterMs }) =>
        this.noteEnded(admitted, target, isGood, afterMs),
      onSendAbandoned: (admitted, target, afterMs) =>
        this.noteEnded(admitted, target, true, afterMs),
    };
  }

  start(): void {
    this.onKnowledge();
  }

  /** The store told something new: orders, steps and versions are read anew. */
  onKnowledge(): void {
    const { knowledge, directory } = this.context;
    if (!knowledge.isComplete || knowledge.revision === this.knownRevision) {
      return;
    }
    this.knownRevision = knowledge.revision;
    this.rollOuts.take({
      orders: knowledge.listRollOuts(),
      steps: knowledge.readRollOutSteps(),
      targets: directory.all().map(({ target }) => target),
    });
    this.run();
  }

  onReport(_peer: string, report: PeerReport): void {
    if (report.kind === 'version-evidence' || report.kind === 'version-total') {
      this.heardAtMs = this.context.clock.now();
    }
    if (report.kind === 'version-evidence') {
      this.rollOuts.hear(report.incarnation, report);
    } else if (report.kind === 'version-total') {
      this.rollOuts.hearGathered(report);
    }
  }

  async handOver(): Promise<void> {
    this.isStopping = true;
    await this.ownDuty?.handOver();
  }

  private run(): void {
    if (this.isRunning || this.isStopping || !this.rollOuts.isActive) {
      return;
    }
    this.isRunning = true;
    if (this.sharedDuty === undefined && this.ownDuty === undefined) {
      this.ownDuty = createDutyPart(this.context, {
        leaseMs: WRITER_LEASE_MS,
        key: ROLL_OUT_DUTY_KEY,
      });
      this.ownDuty.start();
    }
    this.rollOuts.round();
    this.context.timers.after(ROUND_MS, () => {
      this.isRunning = false;
      if (this.rollOuts.isActive) {
        this.run();
      } else {
        this.giveUpDuty();
      }
    });
  }

  private giveUpDuty(): void {
    void this.ownDuty?.handOver();
    this.ownDuty = undefined;
  }

  private noteEnded(
    { route }: AdmittedRequest,
    target: ServiceTarget,
    isGood: boolean,
    afterMs: Millis,
  ): void {
    this.rollOuts.noteEnded({ route: route.name, target, isGood, afterMs });
  }

  private createRollOuts(): RollOuts {
    const { context } = this;
    const { settings, platform, clock, random, log, metrics, directory, knowledge } = context;
    return new RollOuts({
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
      isService: (name) => knowledge.routes?.findService(name) !== undefined,
      listTargets: () => directory.all(),
      isSuspected: (id) => directory.isSuspected(id),
      countVms: () => Math.max(LEAST_VMS, this.vmCount),
      countTellers: () => this.vmCount,
      isInTouch: () => this.isInTouch,
      gathers: () => this.gathers(),
      tellGatherers: (evidence) => this.tellGatherers(evidence),
      tellAll: (gathered) => this.tellAll(gathered),
    });
  }

  /** The most VMs that were seen: those that are cut off share in the slack, too. */
  private get vmCount(): number {
    this.mostVms = Math.max(this.mostVms, this.context.readExchange()?.totalVmCount ?? 1);
    return this.mostVms;
  }

  /** Fresh news of the store, and of another VM where there are any. */
  private get isInTouch(): boolean {
    const { settings, clock, readKnowledgeAgeMs } = this.context;
    const hears = clock.now() - this.heardAtMs < settings.rollOut.rollBackMs * HEARD_PART;
    return readKnowledgeAgeMs() <= settings.configurationWithinMs && (hears || this.vmCount === 1);
  }

  private gathers(): boolean {
    const { settings } = this.context;
    const candidates = this.context.readExchange()?.dutyCandidates ?? [];
    return (
      candidates.length === 0 ||
      settings.peers === undefined ||
      candidates.includes(formatAddress(settings.peers))
    );
  }

  private tellGatherers(evidence: VmEvidence): void {
    const { incarnation } = this;
    this.context
      .readExchange()
      ?.reportToCandidates({ kind: 'version-evidence', incarnation, ...evidence });
  }

  private tellAll(gathered: GatheredEvidence): void {
    this.context.readExchange()?.reportToLinked({ kind: 'version-total', ...gathered });
  }

  private createGate(): TargetGate {
    const { rollOuts } = this;
    // A request may come between the store's news and the word of them.
    const current = (): RollOuts => {
      this.onKnowledge();
      return rollOuts;
    };
    return {
      arrange: (service, targets, isRepeat) => current().arrange(service, targets, isRepeat),
      mayTake: (target) => current().mayTake(target),
      decidesAlone: (service) => current().wantsTrial(service),
      listAdvisable: (service, targets) => current().listAdvisable(service, targets),
      noteSent: (target) => rollOuts.noteSent(target),
    };
  }
}
