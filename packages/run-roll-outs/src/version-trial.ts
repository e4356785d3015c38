/**
 * Trial of one ordered version on one VM: its share of the trial requests, its evidence and its
 * verdict.
 */
import {
  countAnswers,
  EvidenceTable,
  OutcomeCounter,
  VersionJudge,
  type BadVersionVerdict,
  type RouteOutcomeCounts,
  type RouteTest,
  type AttemptOutcome,
} from '@limelead/judge-version';
import { RetryBudgetTracker } from '@limelead/spend-retries';
import type { Clock, Millis, Random } from '@limelead/types';
import { trafficShare } from './plan-step.js';
import type {
  AggregatedEvidence,
  RollOutBounds,
  RollOutStep,
  StoredOrder,
  VmEvidence,
} from './types.js';

/**
 * Share of the exposure limit that trials may use. The rest covers a version that fails only under
 * full traffic, until its verdict.
 */
const TRIAL_SHARE = 0.6;
/** Makes the budget's window longer than the order, so that no spent request expires within it. */
const BUDGET_WINDOW_FACTOR = 2;
/**
 * Share of `rollBackMs` for which aggregated evidence counts as fresh. The rest allows for delivery
 * of the verdict and for lost rounds.
 */
export const EVIDENCE_TTL_SHARE = 0.4;
/** Minimum time between two evaluations; several aggregators broadcast the same evidence. */
const MIN_EVALUATION_INTERVAL_MS = 400;
/** Time for which a VM's report about its drained traffic is valid. */
const REPORT_TTL_MS = 2_000;
/**
 * Time for which a VM keeps to its own announcement: until it expires elsewhere and a write based
 * on it has completed.
 */
const ANNOUNCEMENT_TTL_MS = REPORT_TTL_MS + 1_000;

/** Dependencies and limits of a trial. */
export interface VersionTrialOptions {
  storedOrder: StoredOrder;
  bounds: RollOutBounds;
  clock: Clock;
  random: Random;
  /** Unique id of this VM's process. */
  incarnation: string;
  /**
   * True if the order already existed when this VM started, so that its share of the slack may be
   * spent.
   */
  startedAfterOrder: boolean;
  /** Number of VMs that share the slack, including this one. */
  countVms(): number;
  createTest?: () => RouteTest;
}

interface DrainReport {
  atMs: Millis;
  isDrained: boolean;
}

/** Tracks one order on one VM. */
export default class VersionTrial {
  private readonly own = new OutcomeCounter();
  private readonly evidence = new EvidenceTable();
  private readonly drainReports = new Map<string, DrainReport>();
  private readonly judge: VersionJudge;
  private readonly budget: RetryBudgetTracker;
  /** Counts from the aggregator that knows the most answers. */
  private aggregatedCounts: RouteOutcomeCounts[] = [];
  private aggregatedAtMs: Millis | undefined;
  /** Steady time at which the first VM saw the order, as far as known here. */
  private firstSeenAtMs: Millis;
  private evaluatedAtMs: Millis = -Infinity;
  private movingSinceMs: Millis | undefined;
  private announcedMoveAtMs: Millis = -Infinity;
  private ownVerdict: BadVersionVerdict | undefined;
  private isBadElsewhere = false;
  private knownStep: RollOutStep | undefined;

  constructor(private readonly options: VersionTrialOptions) {
    const { bounds, clock, random, startedAfterOrder, storedOrder, createTest } = options;
    this.firstSeenAtMs = clock.now();
    this.judge = new VersionJudge(createTest);
    this.budget = new RetryBudgetTracker({
      ratio: bounds.exposureShare * TRIAL_SHARE,
      slack: startedAfterOrder ? 0 : bounds.exposureSlack * TRIAL_SHARE,
      windowMs: Math.max(1, storedOrder.order.durationMs) * BUDGET_WINDOW_FACTOR,
    });
    // In a large fleet a VM's share is less than one request; a random credit lets some VMs send
    // one early.
    this.budget.borrow(clock.now(), random.next());
  }

  get storedOrder(): StoredOrder {
    return this.options.storedOrder;
  }

  /** The agreed step as far as this VM knows it. */
  get step(): RollOutStep | undefined {
    return this.knownStep;
  }

  /** Applies a step from the store; a final step never changes. */
  onStep(step: RollOutStep): void {
    const isFinal = this.knownStep === 'completed' || this.knownStep === 'rolled_back';
    if (!isFinal && step !== this.knownStep) {
      this.knownStep = step;
      this.movingSinceMs = step === 'move' ? this.now : undefined;
    }
  }

  get ageMs(): Millis {
    return this.now - this.firstSeenAtMs;
  }

  get movingForMs(): Millis {
    return this.movingSinceMs === undefined ? 0 : this.now - this.movingSinceMs;
  }

  /** Whether this VM recently announced that it sends no new requests to replaced targets. */
  get hasAnnouncedMove(): boolean {
    return this.now - this.announcedMoveAtMs < ANNOUNCEMENT_TTL_MS;
  }

  /** Whether all traffic goes to the new version by now. */
  get isRampComplete(): boolean {
    return trafficShare(this.movingForMs, this.storedOrder.order.durationMs, 0) >= 1;
  }

  /** Whether this VM treats the version as bad, by its own verdict or a peer's. */
  get isBad(): boolean {
    return this.ownVerdict !== undefined || this.isBadElsewhere;
  }

  get verdict(): BadVersionVerdict | undefined {
    return this.ownVerdict;
  }

  /** Number of answers of the version under trial that this VM knows of. */
  get answers(): number {
    return countAnswers(this.known, true);
  }

  /** Whether aggregated evidence arrived recently. */
  get hasFreshEvidence(): boolean {
    return this.aggregatedAtMs !== undefined && this.now - this.aggregatedAtMs < this.evidenceTtlMs;
  }

  /** Whether the next request should use the version under trial. */
  shouldSendTrial(isUpToDate: boolean): boolean {
    if (this.isBad || !isUpToDate || !this.hasFreshEvidence) {
      return false;
    }
    if (this.knownStep === 'trial') {
      return this.budget.countAvailable(this.now, this.options.countVms()) >= 1;
    }
    const { random, bounds } = this.options;
    return (
      this.knownStep === 'move' &&
      random.next() <
        trafficShare(this.movingForMs, this.storedOrder.order.durationMs, bounds.exposureShare)
    );
  }

  /** Records an attempt at the service. */
  recordAttempt(isTrial: boolean): void {
    this.budget.recordFirstAttempt(this.now);
    if (isTrial) {
      this.budget.trySpend(this.now, this.options.countVms());
    }
  }

  /** Records the outcome of an attempt. */
  recordOutcome(outcome: AttemptOutcome): void {
    this.own.record(outcome);
  }

  /** Returns this VM's evidence for the aggregators. */
  createEvidence(underWay: number, moves: boolean): VmEvidence {
    const { order, revision } = this.storedOrder;
    if (moves) {
      this.announcedMoveAtMs = this.now;
    }
    return {
      service: order.service,
      order: revision,
      ageMs: this.ageMs,
      moves,
      underWay,
      sums: this.own.snapshot(),
    };
  }

  /** Records the evidence of a VM, which may be this one. */
  onEvidence(incarnation: string, { ageMs, moves, underWay, sums }: VmEvidence): void {
    this.recordAge(ageMs);
    this.evidence.record(incarnation, sums);
    this.drainReports.set(incarnation, { atMs: this.now, isDrained: moves && underWay === 0 });
  }

  /** Returns the evidence of all VMs, for broadcast. */
  aggregate(): AggregatedEvidence {
    const { order, revision } = this.storedOrder;
    return {
      service: order.service,
      order: revision,
      ageMs: this.ageMs,
      isBad: this.isBad,
      sums: this.evidence.total(),
    };
  }

  /**
   * Records aggregated evidence and evaluates it. Returns true if the version just turned out to be
   * bad.
   */
  onAggregatedEvidence({ ageMs, isBad, sums }: AggregatedEvidence): boolean {
    const wasBad = this.isBad;
    this.recordAge(ageMs);
    this.aggregatedAtMs = this.now;
    this.isBadElsewhere ||= isBad;
    if (countAnswers(sums) >= countAnswers(this.aggregatedCounts)) {
      this.aggregatedCounts = sums;
    }
    if (!this.isBad && this.now - this.evaluatedAtMs >= MIN_EVALUATION_INTERVAL_MS) {
      this.evaluatedAtMs = this.now;
      this.ownVerdict = this.judge.evaluate(this.now, this.known);
    }
    return this.isBad && !wasBad;
  }

  /** Whether this many VMs recently reported that nothing of theirs is left at replaced targets. */
  isDrained(vms: number): boolean {
    const fresh = [...this.drainReports.values()].filter(
      ({ atMs }) => this.now - atMs < REPORT_TTL_MS,
    );
    return fresh.length >= vms && fresh.every(({ isDrained }) => isDrained);
  }

  /** Aggregated counts; this VM's own before the first aggregation. */
  private get known(): RouteOutcomeCounts[] {
    return this.aggregatedCounts.length > 0 ? this.aggregatedCounts : this.own.snapshot();
  }

  private recordAge(ageMs: Millis): void {
    this.firstSeenAtMs = Math.min(this.firstSeenAtMs, this.now - ageMs);
  }

  private get evidenceTtlMs(): Millis {
    return this.options.bounds.rollBackMs * EVIDENCE_TTL_SHARE;
  }

  private get now(): Millis {
    return this.options.clock.now();
  }
}
