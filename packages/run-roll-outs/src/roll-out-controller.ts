/**
 * Runs the roll-outs of all services on one VM: selects targets, exchanges evidence with other VMs
 * and writes the next steps.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { RouteTest } from '@limelead/judge-version';
import type { Metrics } from '@limelead/metrics';
import {
  softwareVersionOf,
  type Clock,
  type Millis,
  type Random,
  type ServiceTarget,
} from '@limelead/types';
import validateOrder from './validate-order.js';
import planStep, { type StepInputs } from './plan-step.js';
import type StepWriter from './step-writer.js';
import VersionTable from './version-table.js';
import VersionTrial from './version-trial.js';
import type {
  AgreedStep,
  AggregatedEvidence,
  RollOutBounds,
  StoredOrder,
  StoredStep,
  VmEvidence,
} from './types.js';

/** A target and this VM's requests in flight there. */
export interface TargetUsage {
  target: ServiceTarget;
  inFlight: number;
}

/** Stored orders, agreed steps by service, and targets, as last read. */
export interface RollOutSnapshot {
  orders: readonly StoredOrder[];
  steps: ReadonlyMap<string, AgreedStep>;
  targets: readonly ServiceTarget[];
}

/** Outcome of one attempt; `afterMs` is the time from sending to the outcome. */
export interface EndedAttempt {
  route: string;
  target: ServiceTarget;
  isGood: boolean;
  afterMs: Millis;
}

/** Dependencies and limits of the roll-out controller. */
export interface RollOutControllerOptions {
  clock: Clock;
  random: Random;
  log: DecisionLog;
  metrics: Pick<Metrics, 'count'>;
  bounds: RollOutBounds;
  /** Unique id of this process. */
  incarnation: string;
  writer: Pick<StepWriter, 'write'>;
  isService(name: string): boolean;
  listTargets(): readonly TargetUsage[];
  /** Whether a target is suspected to be down. */
  isSuspected(id: string): boolean;
  /** Number of VMs that share the slack, including this one. */
  countVms(): number;
  /** Number of VMs that report evidence, including this one. */
  countReportingVms(): number;
  /** Whether this VM's data from the store and its peers is recent enough for trial requests. */
  isUpToDate(): boolean;
  /** Whether this VM aggregates the evidence of all VMs. */
  isAggregator(): boolean;
  /**
   * Sends evidence to the other aggregators; the controller passes it to this VM's own directly.
   */
  sendToAggregators(evidence: VmEvidence): void;
  broadcast(aggregated: AggregatedEvidence): void;
  createTest?: () => RouteTest;
}

/** Groups of targets that a request may use, in order of preference. */
export type TargetGroups<Item> = readonly (readonly Item[])[];

/** Decides which versions receive requests and advances the roll-out of each service. */
export default class RollOutController {
  private readonly versions: VersionTable;
  /** Trials by service. */
  private readonly trials = new Map<string, VersionTrial>();
  private readonly warmAtMs = new Map<string, Millis>();
  private hasSnapshot = false;

  constructor(private readonly options: RollOutControllerOptions) {
    this.versions = new VersionTable(options.clock);
  }

  /** Whether any roll-out is unfinished, so that `runRound` has work. */
  get isActive(): boolean {
    return [...this.trials.values()].some(({ step }) => !isFinal(step));
  }

  /** Applies the current orders, steps and targets from the store. */
  onSnapshot({ orders, steps, targets }: RollOutSnapshot): void {
    this.versions.update(targets, orders, steps);
    this.recordWarmUps(targets);
    orders.forEach((storedOrder) => this.onOrder(storedOrder));
    steps.forEach((agreed, service) => this.onStepWithoutOrder(service, agreed));
    for (const [service, trial] of this.trials) {
      this.applyStep(service, trial, steps.get(service));
    }
    this.hasSnapshot = true;
  }

  /**
   * Groups the targets that a request may use. Returns the given array itself if all targets are
   * allowed.
   */
  groupByPreference<Item extends { target: ServiceTarget }>(
    service: string,
    items: readonly Item[],
    isRetry: boolean,
  ): TargetGroups<Item> {
    if (this.versions.get(service)?.hasSingleVersion ?? true) {
      return [items];
    }
    const of = (eligibility: string): Item[] =>
      items.filter(
        ({ target }) =>
          this.versions.eligibilityOf(service, softwareVersionOf(target)) === eligibility,
      );
    const trial = this.trials.get(service);
    const active = of('active');
    if (trial !== undefined && this.mustAvoidReplaced(trial, active)) {
      return [of('under-trial')];
    }
    // A stream that the version under trial began has no other targets.
    const mayTry = !isRetry || active.length === 0;
    if (mayTry && trial?.shouldSendTrial(this.options.isUpToDate()) === true) {
      return [of('under-trial'), active];
    }
    if (active.some(({ target }) => !this.options.isSuspected(target.id))) {
      return [active];
    }
    // An unjudged version is better than none, but a version with an order is never used here.
    return [[...active, ...of('unordered')]];
  }

  /** Whether a request may be sent to this target now. */
  isAllowed(target: ServiceTarget): boolean {
    const { service } = target;
    if (this.versions.get(service)?.hasSingleVersion ?? true) {
      return true;
    }
    const eligibility = this.versions.eligibilityOf(service, softwareVersionOf(target));
    const trial = this.trials.get(service);
    if (eligibility === 'under-trial') {
      return trial?.shouldSendTrial(this.options.isUpToDate()) === true;
    }
    return (
      eligibility === 'active' &&
      !(trial !== undefined && this.mustAvoidReplaced(trial, [{ target }]))
    );
  }

  /** Whether the next request should use the version under trial, regardless of target advice. */
  shouldSendTrial(service: string): boolean {
    return this.trials.get(service)?.shouldSendTrial(this.options.isUpToDate()) ?? false;
  }

  /** Returns the targets that may be recommended to other VMs. */
  listAdvisable<Item extends { target: ServiceTarget }>(service: string, items: Item[]): Item[] {
    if (this.versions.get(service)?.hasSingleVersion ?? true) {
      return items;
    }
    const trial = this.trials.get(service);
    const mustLeave = trial !== undefined && this.mustAvoidReplaced(trial, items);
    const eligibility = mustLeave ? 'under-trial' : 'active';
    return items.filter(
      ({ target }) =>
        this.versions.eligibilityOf(service, softwareVersionOf(target)) === eligibility,
    );
  }

  /** Records that a request was sent to a target. */
  recordSend(target: ServiceTarget): void {
    const trial = this.trials.get(target.service);
    if (trial === undefined || isFinal(trial.step)) {
      return;
    }
    const isTrial = this.isTrialVersion(trial, target);
    trial.recordAttempt(isTrial);
    this.options.metrics.count('limelead_roll_out_sends_total', 1, {
      service: target.service,
      version: softwareVersionOf(target),
    });
  }

  /** Records the outcome of an attempt. */
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
        version: softwareVersionOf(target),
      });
    }
  }

  /** Runs one round: exchanges evidence, then writes the next steps. */
  runRound(): void {
    for (const trial of this.trials.values()) {
      if (!isFinal(trial.step)) {
        this.exchangeEvidence(trial);
      }
    }
    for (const trial of this.trials.values()) {
      void this.writeNextStep(trial);
    }
  }

  /** Handles evidence that a VM reported. */
  onEvidence(incarnation: string, evidence: VmEvidence): void {
    this.findTrial(evidence)?.onEvidence(incarnation, evidence);
  }

  /**
   * Handles evidence of all VMs from an aggregator, and logs when the version turns out to be bad.
   */
  onAggregatedEvidence(aggregated: AggregatedEvidence): void {
    const trial = this.findTrial(aggregated);
    if (trial?.onAggregatedEvidence(aggregated) === true) {
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

  private exchangeEvidence(trial: VersionTrial): void {
    const replaced = this.listReplacedTargets(trial);
    const underWay = replaced.reduce((sum, { inFlight }) => sum + inFlight, 0);
    // While not up to date, an announced move stays in effect and no new move is announced.
    const moves =
      this.options.isUpToDate() &&
      trial.hasFreshEvidence &&
      this.mustAvoidReplaced(trial, replaced);
    const evidence = trial.createEvidence(underWay, moves);
    this.options.sendToAggregators(evidence);
    if (this.options.isAggregator()) {
      trial.onEvidence(this.options.incarnation, evidence);
      const aggregated = trial.aggregate();
      this.options.broadcast(aggregated);
      this.onAggregatedEvidence(aggregated);
    }
  }

  private async writeNextStep(trial: VersionTrial): Promise<void> {
    const { order, revision } = trial.storedOrder;
    const next = isFinal(trial.step) ? undefined : planStep(this.collectInputs(trial));
    if (next === undefined) {
      return;
    }
    const { service, version } = order;
    const agreed: AgreedStep = {
      order: revision,
      version,
      step: next.step,
      replaces: this.listReplacedVersions(trial),
    };
    const { reason } = next;
    const stored = await this.options.writer.write({
      service,
      agreed,
      reason,
      ageMs: trial.ageMs,
    });
    if (stored !== undefined) {
      this.applyStored(trial, stored);
    }
  }

  /** Applies a step that was just written or read, before the store's next snapshot contains it. */
  private applyStored(trial: VersionTrial, { agreed }: StoredStep): void {
    this.applyStep(trial.storedOrder.order.service, trial, agreed);
  }

  private collectInputs(trial: VersionTrial): StepInputs {
    const { order, revision } = trial.storedOrder;
    const known = this.versions.get(order.service);
    const targets = this.options
      .listTargets()
      .filter(({ target }) => target.service === order.service && !target.leaving);
    const ordered = targets.filter(({ target }) => softwareVersionOf(target) === order.version);
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

  private onOrder(storedOrder: StoredOrder): void {
    const { service, version, durationMs } = storedOrder.order;
    const known = this.trials.get(service);
    if (known !== undefined && known.storedOrder.revision >= storedOrder.revision) {
      return;
    }
    const { clock, random, bounds, incarnation, createTest } = this.options;
    const startedAfterOrder = !this.hasSnapshot;
    this.trials.set(
      service,
      new VersionTrial({
        storedOrder,
        bounds,
        clock,
        random,
        incarnation,
        startedAfterOrder,
        countVms: () => this.options.countVms(),
        createTest,
      }),
    );
    this.options.log.write('roll-out-seen', {
      service,
      version,
      order: storedOrder.revision,
      durationMs,
      isLate: startedAfterOrder,
      fault: validateOrder(storedOrder, (name) => this.options.isService(name)),
      replacesOrder: known?.storedOrder.revision,
    });
  }

  /** Ends an unfinished step whose order was deleted. */
  private onStepWithoutOrder(
    service: string,
    { step, version, order: revision }: AgreedStep,
  ): void {
    if (!this.trials.has(service) && !isFinal(step)) {
      this.onOrder({ order: { service, version, durationMs: 1 }, revision });
    }
  }

  private applyStep(service: string, trial: VersionTrial, agreed: AgreedStep | undefined): void {
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
   * Whether replaced versions must receive no new requests. A VM that announced this keeps to it
   * until other VMs no longer count its announcement. If it is not up to date by then, it uses
   * replaced targets again unless all of them are suspected to be down.
   */
  private mustAvoidReplaced(
    trial: VersionTrial,
    active: readonly { target: ServiceTarget }[],
  ): boolean {
    if (trial.step !== 'move' || trial.isBad) {
      return false;
    }
    const { isUpToDate, isSuspected } = this.options;
    return isUpToDate() && trial.hasFreshEvidence
      ? trial.isRampComplete
      : trial.hasAnnouncedMove || active.every(({ target }) => isSuspected(target.id));
  }

  private listReplacedTargets(trial: VersionTrial): TargetUsage[] {
    const { service, version } = trial.storedOrder.order;
    return this.options
      .listTargets()
      .filter(({ target }) => target.service === service && softwareVersionOf(target) !== version);
  }

  private listReplacedVersions(trial: VersionTrial): string[] {
    const { service } = trial.storedOrder.order;
    const present = this.listReplacedTargets(trial).filter(
      ({ target }) => this.versions.eligibilityOf(service, softwareVersionOf(target)) === 'active',
    );
    const agreed = this.versions.get(service)?.agreed;
    const earlier = agreed?.order === trial.storedOrder.revision ? agreed.replaces : [];
    return [...new Set([...earlier, ...present.map(({ target }) => softwareVersionOf(target))])];
  }

  private findTrial({
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
    return softwareVersionOf(target) === storedOrder.order.version;
  }

  private recordWarmUps(targets: readonly ServiceTarget[]): void {
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
