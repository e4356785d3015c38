/** One order as one VM sees it: its own part of the exposure, its evidence, its verdict. */
import {
  countAnswers,
  EvidenceBook,
  SendSums,
  VersionJudge,
  type BadVerdict,
  type RouteSums,
  type RouteTest,
  type SendOutcome,
} from '@limelead/judge-version';
import { RetryBudgetTracker } from '@limelead/spend-retries';
import type { Clock, Millis, Random } from '@limelead/types';
import { shareOfMove } from './plan-step.js';
import type {
  GatheredEvidence,
  RollOutBounds,
  RollOutStep,
  StandingOrder,
  VmEvidence,
} from './types.js';

/**
 * Part of the exposure that trials may use. The rest is for what a version that only
 * fails under all traffic gets until its verdict.
 */
const TRIAL_PART = 0.6;
/** A budget's window has to be longer than any order, so that nothing is forgotten within it. */
const WINDOW_FACTOR = 2;
/**
 * Part of the time to leave a bad version for which gathered evidence is good: the rest is
 * for the verdict's way, and some of its rounds may be lost.
 */
export const HEARD_PART = 0.4;
/** Time between two looks at the evidence; several VMs tell the same in each round. */
const LOOK_MS = 400;
/** What a VM told of its moved traffic is believed this long. */
const TOLD_MS = 2_000;
/** A VM that told so keeps to it this long: until it is not believed, and a write arrived. */
const BOUND_MS = TOLD_MS + 1_000;

/** What a trial needs. */
export interface VersionTrialOptions {
  standing: StandingOrder;
  bounds: RollOutBounds;
  clock: Clock;
  random: Random;
  /** Names this VM's process among all that ever told evidence. */
  incarnation: string;
  /** True where the order stood before this VM knew anything: its part of the slack may be spent. */
  isLate: boolean;
  /** VMs that share the slack, this one included. */
  countVms(): number;
  createTest?: () => RouteTest;
}

interface Told {
  atMs: Millis;
  isMoved: boolean;
}

/** Follows one order on one VM. */
export default class VersionTrial {
  private readonly own = new SendSums();
  private readonly book = new EvidenceBook();
  private readonly told = new Map<string, Told>();
  private readonly judge: VersionJudge;
  private readonly spender: RetryBudgetTracker;
  /** What the VM that knows most gathered. */
  private gathered: RouteSums[] = [];
  private gatheredAtMs: Millis | undefined;
  /** Steady time at which any VM first saw the order, as far as this one heard. */
  private beganAtMs: Millis;
  private lookedAtMs: Millis = -Infinity;
  private movesSinceMs: Millis | undefined;
  private toldMovedAtMs: Millis = -Infinity;
  private ownVerdict: BadVerdict | undefined;
  private isBadElsewhere = false;
  private knownStep: RollOutStep | undefined;

  constructor(private readonly options: VersionTrialOptions) {
    const { bounds, clock, random, isLate, standing, createTest } = options;
    this.beganAtMs = clock.now();
    this.judge = new VersionJudge(createTest);
    this.spender = new RetryBudgetTracker({
      ratio: bounds.exposureShare * TRIAL_PART,
      slack: isLate ? 0 : bounds.exposureSlack * TRIAL_PART,
      windowMs: Math.max(1, standing.order.durationMs) * WINDOW_FACTOR,
    });
    // In a fleet of hundreds a VM's part is less than a request: by lot, some send one early.
    this.spender.borrow(clock.now(), random.next());
  }

  get standing(): StandingOrder {
    return this.options.standing;
  }

  /** The agreed step as far as this VM knows. */
  get step(): RollOutStep | undefined {
    return this.knownStep;
  }

  /** The store tells of a step; a final one stays. */
  noteStep(step: RollOutStep): void {
    const isFinal = this.knownStep === 'completed' || this.knownStep === 'rolled_back';
    if (!isFinal && step !== this.knownStep) {
      this.knownStep = step;
      this.movesSinceMs = step === 'move' ? this.now : undefined;
    }
  }

  get ageMs(): Millis {
    return this.now - this.beganAtMs;
  }

  get movedForMs(): Millis {
    return this.movesSinceMs === undefined ? 0 : this.now - this.movesSinceMs;
  }

  /** Whether this VM told lately that it sends nothing new to replaced targets. */
  get isBound(): boolean {
    return this.now - this.toldMovedAtMs < BOUND_MS;
  }

  /** Whether all traffic goes to the version by now. */
  get isRamped(): boolean {
    return shareOfMove(this.movedForMs, this.standing.order.durationMs, 0) >= 1;
  }

  /** The verdict that this VM acts on. */
  get isBad(): boolean {
    return this.ownVerdict !== undefined || this.isBadElsewhere;
  }

  get verdict(): BadVerdict | undefined {
    return this.ownVerdict;
  }

  /** Answers of the version under trial, as far as this VM knows. */
  get answers(): number {
    return countAnswers(this.known, true);
  }

  /** Whether others gathered evidence for this VM just now. */
  get isHeard(): boolean {
    return this.gatheredAtMs !== undefined && this.now - this.gatheredAtMs < this.heardMs;
  }

  /** Whether the next request should go to the version under trial. */
  wantsTrial(isInTouch: boolean): boolean {
    if (this.isBad || !isInTouch || !this.isHeard) {
      return false;
    }
    if (this.knownStep === 'trial') {
      return this.spender.countAvailable(this.now, this.options.countVms()) >= 1;
    }
    const { random, bounds } = this.options;
    return (
      this.knownStep === 'move' &&
      random.next() <
        shareOfMove(this.movedForMs, this.standing.order.durationMs, bounds.exposureShare)
    );
  }

  /** A request was sent to the service. */
  noteSent(isTrial: boolean): void {
    this.spender.recordFirstAttempt(this.now);
    if (isTrial) {
      this.spender.trySpend(this.now, this.options.countVms());
    }
  }

  /** A send ended. */
  noteEnded(outcome: SendOutcome): void {
    this.own.note(outcome);
  }

  /** What this VM tells those that gather. */
  tell(underWay: number, moves: boolean): VmEvidence {
    const { order, revision } = this.standing;
    if (moves) {
      this.toldMovedAtMs = this.now;
    }
    return {
      service: order.service,
      order: revision,
      ageMs: this.ageMs,
      moves,
      underWay,
      sums: this.own.read(),
    };
  }

  /** Another VM told, or this one tells itself. */
  hear(incarnation: string, { ageMs, moves, underWay, sums }: VmEvidence): void {
    this.noteAge(ageMs);
    this.book.take(incarnation, sums);
    this.told.set(incarnation, { atMs: this.now, isMoved: moves && underWay === 0 });
  }

  /** What this VM gathered, for all others. */
  gather(): GatheredEvidence {
    const { order, revision } = this.standing;
    return {
      service: order.service,
      order: revision,
      ageMs: this.ageMs,
      isBad: this.isBad,
      sums: this.book.total(),
    };
  }

  /** Takes what was gathered, and judges anew; true where the version turned out bad just now. */
  hearGathered({ ageMs, isBad, sums }: GatheredEvidence): boolean {
    const wasBad = this.isBad;
    this.noteAge(ageMs);
    this.gatheredAtMs = this.now;
    this.isBadElsewhere ||= isBad;
    if (countAnswers(sums) >= countAnswers(this.gathered)) {
      this.gathered = sums;
    }
    if (!this.isBad && this.now - this.lookedAtMs >= LOOK_MS) {
      this.lookedAtMs = this.now;
      this.ownVerdict = this.judge.look(this.now, this.known);
    }
    return this.isBad && !wasBad;
  }

  /** Whether so many VMs told that nothing of theirs is left at replaced targets. */
  isMoved(vms: number): boolean {
    const fresh = [...this.told.values()].filter(({ atMs }) => this.now - atMs < TOLD_MS);
    return fresh.length >= vms && fresh.every(({ isMoved }) => isMoved);
  }

  /** What was gathered; this VM's own before anything was. */
  private get known(): RouteSums[] {
    return this.gathered.length > 0 ? this.gathered : this.own.read();
  }

  private noteAge(ageMs: Millis): void {
    this.beganAtMs = Math.min(this.beganAtMs, this.now - ageMs);
  }

  private get heardMs(): Millis {
    return this.options.bounds.rollBackMs * HEARD_PART;
  }

  private get now(): Millis {
    return this.options.clock.now();
  }
}
