/** Crash tracking of one request of this VM, from its first attempt to its final answer. */
import type { CancelTimer, Millis } from '@limelead/types';
import type { RequestStatus } from './judge-crashes.js';
import GuardedRun, { type RunEnd, type RunOwner, type RunTarget } from './guarded-run.js';
import HeldTrial from './held-trial.js';
import identifyRequest, {
  identifyCaller,
  type IdentifiedRequest,
  type RequestIdentity,
} from './identify-request.js';
import { sampleRequest } from './recent-answers.js';
import type { RequestSummary } from './request-summary.js';
import type { UnsettledRun } from './run-ledger.js';
import type { Admission } from './trial-queue.js';

/** A request and how it is identified. */
export interface GuardedRequestDetails {
  request: IdentifiedRequest;
  /** Name of the route. */
  route: string;
  /** Caller's id of this request; used in log lines only. */
  requestId: string;
  /** Called when the request is quarantined while it is open. */
  onQuarantined(): void;
}

/** The parts of the VM's guard that a guarded request uses. */
export interface GuardAccess {
  readNow(): Millis;
  hasEntries(): boolean;
  hasEntry(request: RequestIdentity): boolean;
  longestCrashMs(request: RequestIdentity): Millis;
  getStatus(request: RequestIdentity): RequestStatus;
  quarantineLeftMs(request: RequestIdentity): Millis;
  requestAdmission(
    request: RequestIdentity,
    onAdmission: (admission: Admission) => void,
  ): CancelTimer;
  endTrial(request: RequestIdentity): void;
  onRunStarted(run: GuardedRun, isOnTrial: boolean): void;
  onRunEnded(run: GuardedRun): void;
  /** A run was given up, and it is not known whether its target ended. */
  onRunAbandoned(run: UnsettledRun, isOnTrial: boolean): void;
  checkBrokenRun(run: UnsettledRun): Promise<void>;
  onAnswered(sample: string, target: RunTarget): void;
  clearRequest(request: RequestIdentity, ground: ClearanceGround): void;
  onClosed(): void;
}

/** What showed that a request is harmless: an answer, or output after a long run. */
export interface ClearanceGround {
  run: GuardedRun;
  evidence: 'output' | 'answered';
}

/** Shortest run whose output shows that a request is harmless, in milliseconds. */
const MIN_HARMLESS_RUN_MS: Millis = 1_000;
/** The same as a multiple of the longest run that a target ended under. */
const HARMLESS_RUN_FACTOR = 2;

/** Tracks the attempts of one request. */
export default class GuardedRequest implements RunOwner {
  private knownIdentity: RequestIdentity | undefined;
  /** Whether a target ran the request to its answer. */
  private isHarmless = false;
  private readonly openRuns = new Set<GuardedRun>();
  private isClosed = false;
  private readonly trial = new HeldTrial(() => this.guard.endTrial(this.identity));
  /** Checks of broken runs; the request is not admitted again before they are done. */
  private openChecks: Promise<unknown> = Promise.resolve();
  private openCheckCount = 0;

  constructor(
    private readonly details: GuardedRequestDetails,
    private readonly guard: GuardAccess,
  ) {}

  /**
   * Whether the request is suspected or quarantined. Such a request is not hedged, and its breaks
   * are not held against targets.
   */
  get isSuspected(): boolean {
    return this.mayBeSuspected && this.guard.getStatus(this.identity) !== 'clear';
  }

  /** Time until targets may run the request again, in milliseconds. */
  get quarantineLeftMs(): Millis {
    return this.guard.quarantineLeftMs(this.identity);
  }

  /**
   * Requests admission before an attempt; answered at once unless the request is suspected. Returns
   * a function that cancels waiting, and the trial if its run has not started.
   */
  requestAdmission(onAdmission: (admission: Admission) => void): CancelTimer {
    if (this.openCheckCount > 0) {
      return this.requestAdmissionAfterChecks(onAdmission);
    }
    if (this.isHarmless || !this.mayBeSuspected) {
      onAdmission('send');
      return () => undefined;
    }
    this.trial.endUnstarted();
    const cancel = this.guard.requestAdmission(this.identity, (admission) => {
      if (admission === 'send-trial') {
        this.trial.begin();
      }
      onAdmission(admission);
    });
    return () => {
      cancel();
      this.trial.endUnstarted();
    };
  }

  get now(): Millis {
    return this.guard.readNow();
  }

  /** Starts to track a run; the caller reports its end. */
  startRun(target: RunTarget): GuardedRun {
    const run = new GuardedRun(target, this.now, this);
    this.openRuns.add(run);
    this.guard.onRunStarted(run, this.trial.startRun(run));
    return run;
  }

  /** A run that goes on for longer than those that crashed shows that the request is harmless. */
  onOutput(run: GuardedRun): void {
    if (!this.mayBeSuspected || !this.guard.hasEntry(this.identity)) {
      return;
    }
    const minMs = Math.max(
      MIN_HARMLESS_RUN_MS,
      this.guard.longestCrashMs(this.identity) * HARMLESS_RUN_FACTOR,
    );
    if (this.now - run.startedAtMs > minMs) {
      this.guard.clearRequest(this.identity, { run, evidence: 'output' });
      this.trial.end();
    }
  }

  onTargetEnded(run: GuardedRun): void {
    this.trial.endWith(run);
  }

  onRunEnded(run: GuardedRun, end: RunEnd): void {
    this.openRuns.delete(run);
    this.guard.onRunEnded(run);
    switch (end) {
      case 'answered':
        this.recordHarmlessRun(run);
        break;
      case 'broken':
        this.recordBrokenRun(run);
        break;
      case 'abandoned':
        this.recordAbandonedRun(run);
        break;
      case 'failed':
      case 'not-run':
        this.trial.endWith(run);
        break;
    }
  }

  /**
   * Runs the next step after a broken attempt once the checks are done and a resulting quarantine
   * is stored, since the caller may retry as soon as it has an answer. Runs it at once if no check
   * is open.
   */
  afterChecks(follow: () => void): void {
    if (this.openCheckCount > 0) {
      void this.openChecks.then(follow);
    } else {
      follow();
    }
  }

  /** Ends the trial of an attempt that found no target. */
  onNoTarget(): void {
    this.trial.endUnstarted();
  }

  /**
   * Handles the quarantine of any request; ends this one if it has the same identity, no open check
   * and no run that writes.
   */
  onQuarantined(request: RequestIdentity): void {
    const isWriting = [...this.openRuns].some(({ hasOutput }) => hasOutput);
    if (!this.isHarmless && !isWriting && this.openCheckCount === 0 && request === this.identity) {
      this.details.onQuarantined();
    }
  }

  /** Ends the tracking after the final answer. */
  close(): void {
    this.isClosed = true;
    if (this.openCheckCount === 0) {
      this.trial.end();
    } else {
      this.trial.endUnstarted();
    }
    this.guard.onClosed();
  }

  /** The request as evidence and log lines name it. */
  summarize(): RequestSummary {
    const { route, requestId, request } = this.details;
    const { organisation, path } = request;
    const caller = identifyCaller(organisation, route);
    const sample = sampleRequest(request);
    return { identity: this.identity, caller, requestId, organisation, path, sample };
  }

  /**
   * Identity of the request; hashed only on demand, since it is not needed while no request has
   * crashes.
   */
  get identity(): RequestIdentity {
    this.knownIdentity ??= identifyRequest(this.details.request);
    return this.knownIdentity;
  }

  private get mayBeSuspected(): boolean {
    return this.guard.hasEntries();
  }

  /**
   * Checks a run that broke. A stream that has begun waits for the check only if it is suspected,
   * so that it goes on without a pause.
   */
  private recordBrokenRun(run: GuardedRun): void {
    if (this.isHarmless) {
      return;
    }
    const isAwaited = !run.hasOutput || this.isSuspected;
    this.openCheckCount += isAwaited ? 1 : 0;
    const unsettled = this.toUnsettledRun(run, 'broken');
    const check = this.guard.checkBrokenRun(unsettled).then(() => {
      this.openCheckCount -= isAwaited ? 1 : 0;
      this.trial.endWith(run);
    });
    if (isAwaited) {
      this.openChecks = Promise.all([this.openChecks, check]);
    }
  }

  /** Keeps a run whose target may end yet; a trial ends only when that is known. */
  private recordAbandonedRun(run: GuardedRun): void {
    const isOnTrial = this.trial.passOn(run);
    if (this.isHarmless) {
      return;
    }
    this.guard.onRunAbandoned(this.toUnsettledRun(run, 'abandoned'), isOnTrial);
  }

  private toUnsettledRun(run: GuardedRun, end: UnsettledRun['end']): UnsettledRun {
    const { target, startedAtMs, endedAtMs = this.now, hasOutput } = run;
    return { target, startedAtMs, endedAtMs, end, hasOutput, request: this.summarize() };
  }

  /** Records that a target ran the request to its answer and is still running. */
  private recordHarmlessRun(run: GuardedRun): void {
    if (this.isHarmless) {
      return;
    }
    this.isHarmless = true;
    this.guard.onAnswered(sampleRequest(this.details.request), run.target);
    if (this.mayBeSuspected) {
      this.guard.clearRequest(this.identity, { run, evidence: 'answered' });
    }
    this.trial.end();
  }

  private requestAdmissionAfterChecks(onAdmission: (admission: Admission) => void): CancelTimer {
    let isCancelled = false;
    let cancel = (): void => undefined;
    void this.openChecks.then(() => {
      if (!isCancelled && !this.isClosed) {
        cancel = this.requestAdmission(onAdmission);
      }
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }
}
