/**
 * The roll-outs of all services on one VM: which targets a request may go to, what is
 * told to other VMs, and which step is written next.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { RouteTest } from '@limelead/judge-version';
import type { Metrics } from '@limelead/metrics';
import type { Clock, Millis, Random, ServiceTarget } from '@limelead/types';
import validateOrder from './validate-order.js';
import planStep, { type StepInputs } from './plan-step.js';
import type StepWriter from './step-writer.js';
import VersionTable, { versionOf } from './version-table.js';
import VersionTrial from './version-trial.js';
import type {
  AgreedStep,
  AggregatedEvidence,
  RollOutBounds,
  StoredOrder,
  StoredStep,
  VmEvidence,
} from './types.js';

/** A target with the requests of this VM that are under way there. */
export interface TargetUsage {
  target: ServiceTarget;
  inFlight: number;
}

/** What is known of the store. */
export interface RollOutSnapshot {
  orders: readonly StoredOrder[];
  steps: ReadonlyMap<string, AgreedStep>;
  targets: readonly ServiceTarget[];
}

/** How a send ended. */
export interface EndedAttempt {
  route: string;
  target: ServiceTarget;
  isGood: boolean;
  afterMs: Millis;
}

/** What roll-outs need. */
export interface RollOutControllerOptions {
  clock: Clock;
  random: Random;
  log: DecisionLog;
  metrics: Pick<Metrics, 'count'>;
  bounds: RollOutBounds;
  /** Names this process among all that ever told evidence. */
  incarnation: string;
  writer: Pick<StepWriter, 'write'>;
  isService(name: string): boolean;
  listTargets(): readonly TargetUsage[];
  /** Whether a target seems to be down. */
  isSuspected(id: string): boolean;
  /** VMs that share the slack, this one included. */
  countVms(): number;
  /** VMs that tell evidence, this one included. */
  countReportingVms(): number;
  /** Whether the store's news are young enough here to send to a version under trial. */
  isUpToDate(): boolean;
  /** Whether this VM gathers evidence for all. */
  isAggregator(): boolean;
  /** Tells those that gather; this VM itself is told directly. */
  sendToAggregators(evidence: VmEvidence): void;
  broadcast(gathered: AggregatedEvidence): void;
  createTest?: () => RouteTest;
}

/** Where a request may go: groups of targets, in the order in which they are tried. */
export type TargetGroups<Item> = readonly (readonly Item[])[];

/** Follows all roll-outs. */
export default class RollOutController {
  private readonly versions: VersionTable;
  /** By service. */
  private readonly trials = new Map<string, VersionTrial>();
  private readonly warmAtMs = new Map<string, Millis>();
  private hasKnowledge = false;

  constructor(private readonly options: RollOutControllerOptions) {
    this.versions = new VersionTable(options.clock);
  }

  /** Whether there is anything to do round by round. */
  get isActive(): boolean {
    return [...this.trials.values()].some(({ step }) => !isFinal(step));
  }

  /** Takes what the store holds now. */
  onSnapshot({ orders, steps, targets }: RollOutSnapshot): void {
    this.versions.update(targets, orders, steps);
    this.noteWarming(targets);
    orders.forEach((standing) => this.takeOrder(standing));
    steps.forEach((agreed, service) => this.takeUnordered(service, agreed));
    for (const [service, trial] of this.trials) {
      this.takeStep(service, trial, steps.get(service));
    }
    this.hasKnowledge = true;
  }

  /** Orders the targets that a request may go to; the very array where all may be taken. */
  selectTargets<Item extends { target: ServiceTarget }>(
    service: string,
    items: readonly Item[],
    isRepeat: boolean,
  ): TargetGroups<Item> {
    if (this.versions.get(service)?.hasSingleVersion ?? true) {
      return [items];
    }
    const of = (use: string): Item[] =>
      items.filter(({ target }) => this.versions.eligibilityOf(service, versionOf(target)) === use);
    const trial = this.trials.get(service);
    const inForce = of('in-force');
    if (trial !== undefined && this.mustLeaveForce(trial, inForce)) {
      return [of('under-trial')];
    }
    if (!isRepeat && trial?.shouldSendTrial(this.options.isUpToDate()) === true) {
      return [of('under-trial'), inForce];
    }
    if (inForce.some(({ target }) => !this.options.isSuspected(target.id))) {
      return [inForce];
    }
    // Better a version that nobody judged than none, but never one that is on order.
    return [[...inForce, ...of('unordered')]];
  }

  /** Whether a request may go to just this target now. */
  canSendTo(target: ServiceTarget): boolean {
    const { service } = target;
    if (this.versions.get(service)?.hasSingleVersion ?? true) {
      return true;
    }
    const use = this.versions.eligibilityOf(service, versionOf(target));
    const trial = this.trials.get(service);
    if (use === 'under-trial') {
      return trial?.shouldSendTrial(this.options.isUpToDate()) === true;
    }
    return use === 'in-force' && !(trial !== undefined && this.mustLeaveForce(trial, [{ target }]));
  }

  /** Whether the next request should go to a version under trial, whatever is advised. */
  shouldSendTrial(service: string): boolean {
    return this.trials.get(service)?.shouldSendTrial(this.options.isUpToDate()) ?? false;
  }

  /** The targets that may be advised to other VMs. */
  listAdvisable<Item extends { target: ServiceTarget }>(service: string, items: Item[]): Item[] {
    if (this.versions.get(service)?.hasSingleVersion ?? true) {
      return items;
    }
    const trial = this.trials.get(service);
    const mustLeave = trial !== undefined && this.mustLeaveForce(trial, items);
    const use = mustLeave ? 'under-trial' : 'in-force';
    return items.filter(
      ({ target }) => this.versions.eligibilityOf(service, versionOf(target)) === use,
    );
  }

  /** A request was sent. */
  recordAttempt(target: ServiceTarget): void {
    const trial = this.trials.get(target.service);
    if (trial === undefined || isFinal(trial.step)) {
      return;
    }
    const isTrial = this.isTrialVersion(trial, target);
    trial.recordAttempt(isTrial);
    this.options.metrics.count('limelead_roll_out_sends_total', 1, {
      service: target.service,
      version: versionOf(target),
    });
  }

  /** A send ended. */
  recordOutcome({ route, target, isGood, afterMs }: EndedAttempt): void {
    const trial = this.trials.get(target.service);
    if (trial === undefined || isFinal(trial.step)) {
      return;
    }
    const isWarm = (this.warmAtMs.get(target.id) ?? 0) <= this.options.clock.now();
    const isTrial = this.isTrialVersion(trial, target);
    trial.recordOutcome({ route, isTrial, isGood, afterMs: isWarm ? afterMs : undefined });
    if (!isGood) {
      this.options.metrics.count('limelead_roll_out_bad_answers_total', 1, {
        service: target.service,
        version: versionOf(target),
      });
    }
  }

  /** One round: what this VM knows is told, and the next steps are written. */
  runRound(): void {
    for (const trial of this.trials.values()) {
      if (!isFinal(trial.step)) {
        this.tell(trial);
      }
    }
    for (const trial of this.trials.values()) {
      void this.advance(trial);
    }
  }

  /** A VM told what its sends brought. */
  onEvidence(incarnation: string, evidence: VmEvidence): void {
    this.trialOf(evidence)?.onEvidence(incarnation, evidence);
  }

  /** A VM that gathers told what all sends brought. */
  onAggregatedEvidence(gathered: AggregatedEvidence): void {
    const trial = this.trialOf(gathered);
    if (trial?.onAggregatedEvidence(gathered) === true) {
      const { order, revision } = trial.storedOrder;
      this.options.log.write('roll-out-version-bad', {
        service: order.service,
        version: order.version,
        order: revision,
        source: trial.verdict === undefined ? 'peer' : 'own',
        ...trial.verdict,
        answers: trial.answers,
        ageMs: Math.round(trial.ageMs),
      });
    }
  }

  private tell(trial: VersionTrial): void {
    const replaced = this.listAtReplaced(trial);
    const underWay = replaced.reduce((sum, { inFlight }) => sum + inFlight, 0);
    // Without touch a word that was given still holds, and none is given anew.
    const moves =
      this.options.isUpToDate() && trial.hasFreshEvidence && this.mustLeaveForce(trial, replaced);
    const evidence = trial.createEvidence(underWay, moves);
    this.options.sendToAggregators(evidence);
    if (this.options.isAggregator()) {
      trial.onEvidence(this.options.incarnation, evidence);
      const gathered = trial.aggregate();
      this.options.broadcast(gathered);
      this.onAggregatedEvidence(gathered);
    }
  }

  private async advance(trial: VersionTrial): Promise<void> {
    const { order, revision } = trial.storedOrder;
    const next = isFinal(trial.step) ? undefined : planStep(this.readFacts(trial));
    if (next === undefined) {
      return;
    }
    const { service, version } = order;
    const agreed: AgreedStep = {
      order: revision,
      version,
      step: next.step,
      replaces: this.listReplaced(trial),
    };
    const { reason } = next;
    const stored = await this.options.writer.write({
      service,
      agreed,
      reason,
      ageMs: trial.ageMs,
    });
    if (stored !== undefined) {
      this.takeStored(trial, stored);
    }
  }

  /** What was just written or read counts at once, also before the store's news bring it. */
  private takeStored(trial: VersionTrial, { agreed }: StoredStep): void {
    this.takeStep(trial.storedOrder.order.service, trial, agreed);
  }

  private readFacts(trial: VersionTrial): StepInputs {
    const { order, revision } = trial.storedOrder;
    const known = this.versions.get(order.service);
    const targets = this.options
      .listTargets()
      .filter(({ target }) => target.service === order.service && !target.leaving);
    const ordered = targets.filter(({ target }) => versionOf(target) === order.version);
    return {
      step: trial.step,
      fault: validateOrder(trial.storedOrder, (name) => this.options.isService(name)),
      durationMs: order.durationMs,
      ageMs: trial.ageMs,
      movingForMs: trial.movingForMs,
      isOrdered: known?.order?.revision === revision,
      isBad: trial.isBad,
      isAlreadyActive: targets.length > 0 && ordered.length === targets.length,
      targetCount: ordered.length,
      answers: trial.answers,
      isDrained: trial.isDrained(this.options.countReportingVms()),
    };
  }

  private takeOrder(standing: StoredOrder): void {
    const { service, version, durationMs } = standing.order;
    const known = this.trials.get(service);
    if (known !== undefined && known.storedOrder.revision >= standing.revision) {
      return;
    }
    const { clock, random, bounds, incarnation, createTest } = this.options;
    const isLate = !this.hasKnowledge;
    this.trials.set(
      service,
      new VersionTrial({
        storedOrder: standing,
        bounds,
        clock,
        random,
        incarnation,
        startedAfterOrder: isLate,
        countVms: () => this.options.countVms(),
        createTest,
      }),
    );
    this.options.log.write('roll-out-seen', {
      service,
      version,
      order: standing.revision,
      durationMs,
      isLate,
      fault: validateOrder(standing, (name) => this.options.isService(name)),
      replacesOrder: known?.storedOrder.revision,
    });
  }

  /** A step that nobody finished, whose order was deleted: whoever may write ends it. */
  private takeUnordered(service: string, { step, version, order: revision }: AgreedStep): void {
    if (!this.trials.has(service) && !isFinal(step)) {
      this.takeOrder({ order: { service, version, durationMs: 1 }, revision });
    }
  }

  private takeStep(service: string, trial: VersionTrial, agreed: AgreedStep | undefined): void {
    const before = trial.step;
    if (agreed === undefined || agreed.order !== trial.storedOrder.revision) {
      return;
    }
    trial.onStep(agreed.step);
    if (trial.step !== before) {
      const { step, answers, ageMs } = trial;
      const { version, order } = agreed;
      this.options.log.write('roll-out-step', {
        service,
        version,
        order,
        step,
        answers,
        ageMs: Math.round(ageMs),
      });
    }
  }

  /**
   * While traffic moves, nothing new goes to what is replaced. A VM that told so keeps to
   * it until its word is too old to complete the move by. Without touch it goes back then,
   * unless it finds that all of it is gone.
   */
  private mustLeaveForce(
    trial: VersionTrial,
    inForce: readonly { target: ServiceTarget }[],
  ): boolean {
    if (trial.step !== 'move' || trial.isBad) {
      return false;
    }
    const { isUpToDate, isSuspected } = this.options;
    return isUpToDate() && trial.hasFreshEvidence
      ? trial.isRampComplete
      : trial.hasAnnouncedMove || inForce.every(({ target }) => isSuspected(target.id));
  }

  private listAtReplaced(trial: VersionTrial): TargetUsage[] {
    const { service, version } = trial.storedOrder.order;
    return this.options
      .listTargets()
      .filter(({ target }) => target.service === service && versionOf(target) !== version);
  }

  private listReplaced(trial: VersionTrial): string[] {
    const { service } = trial.storedOrder.order;
    const present = this.listAtReplaced(trial).filter(
      ({ target }) => this.versions.eligibilityOf(service, versionOf(target)) === 'in-force',
    );
    const agreed = this.versions.get(service)?.agreed;
    const earlier = agreed?.order === trial.storedOrder.revision ? agreed.replaces : [];
    return [...new Set([...earlier, ...present.map(({ target }) => versionOf(target))])];
  }

  private trialOf({
    service,
    order,
  }: {
    service: string;
    order: number;
  }): VersionTrial | undefined {
    const trial = this.trials.get(service);
    return trial?.storedOrder.revision === order && !isFinal(trial.step) ? trial : undefined;
  }

  private isTrialVersion({ storedOrder }: VersionTrial, target: ServiceTarget): boolean {
    return versionOf(target) === storedOrder.order.version;
  }

  private noteWarming(targets: readonly ServiceTarget[]): void {
    const now = this.options.clock.now();
    const present = new Set(targets.map(({ id }) => id));
    for (const { id, coldForMs = 0 } of targets) {
      if (coldForMs > 0 && !this.warmAtMs.has(id)) {
        this.warmAtMs.set(id, now + coldForMs);
      }
    }
    for (const id of [...this.warmAtMs.keys()]) {
      if (!present.has(id)) {
        this.warmAtMs.delete(id);
      }
    }
  }
}

function isFinal(step: string | undefined): boolean {
  return step === 'completed' || step === 'rolled_back';
}
