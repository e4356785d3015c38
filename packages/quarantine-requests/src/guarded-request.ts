/** Crash tracking of one request of this VM, from its first attempt to its final answer. */
import type { CancelTimer, Millis } from '@limelead/types';
import type { CrashRecord, RequestStatus } from './crash-table.js';
import identifyRequest, {
  identifyCaller,
  type IdentifiedRequest,
  type RequestIdentity,
} from './identify-request.js';
import type { Admission } from './trial-queue.js';

/** A request and how it is identified. */
export interface GuardedRequestDetails {
  request: IdentifiedRequest;
  /** Name of the route. */
  route: string;
  /** Caller's id of this request; used in log lines only. */
  requestId: string;
  service: string;
  /** Called when the request is quarantined while it is open. */
  onQuarantined(): void;
}

/** The parts of the VM's guard that a guarded request uses. */
export interface GuardAccess {
  hasEntriesFor(service: string): boolean;
  getStatus(request: RequestIdentity): RequestStatus;
  quarantineLeftMs(request: RequestIdentity): Millis;
  requestAdmission(
    request: RequestIdentity,
    onAdmission: (admission: Admission) => void,
  ): CancelTimer;
  endTrial(request: RequestIdentity): void;
  checkBrokenRun(crash: CrashRecord, details: GuardedRequestDetails): Promise<void>;
  clearRequest(request: RequestIdentity): void;
  onClosed(): void;
}

/** Tracks the attempts of one request. */
export default class GuardedRequest {
  private identity: RequestIdentity | undefined;
  /** Whether a target ran the request to its first piece or its answer. */
  private isHarmless = false;
  private isClosed = false;
  /** Whether this request holds the trial of its identity. */
  private isOnTrial = false;
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
    return this.mayBeSuspected && this.guard.getStatus(this.name) !== 'clear';
  }

  /** Time until targets may run the request again, in milliseconds. */
  get quarantineLeftMs(): Millis {
    return this.guard.quarantineLeftMs(this.name);
  }

  /**
   * Requests admission before an attempt; answered at once unless the request is suspected. Returns
   * a function that cancels waiting.
   */
  requestAdmission(onAdmission: (admission: Admission) => void): CancelTimer {
    if (this.openCheckCount > 0) {
      return this.requestAdmissionAfterChecks(onAdmission);
    }
    if (this.isHarmless || !this.mayBeSuspected) {
      onAdmission('send');
      return () => undefined;
    }
    return this.guard.requestAdmission(this.name, (admission) => {
      this.isOnTrial = admission === 'send-trial';
      onAdmission(admission);
    });
  }

  /**
   * Records an attempt that broke before the target wrote any output.
   * @param startedAtMs when it was sent; steady time, as is endedAtMs
   */
  recordBrokenRun(target: string, startedAtMs: Millis, endedAtMs: Millis): void {
    if (this.isHarmless) {
      return;
    }
    const { service, route, request } = this.details;
    const caller = identifyCaller(request.organisation, route);
    const crash = { request: this.name, service, caller, target, startedAtMs, endedAtMs };
    this.openCheckCount += 1;
    const check = this.guard.checkBrokenRun(crash, this.details).then(() => {
      this.openCheckCount -= 1;
      this.endTrial();
    });
    this.openChecks = Promise.all([this.openChecks, check]);
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

  /** Records the end of an attempt that shows neither a crash nor that the request is harmless. */
  recordInconclusiveRun(): void {
    this.endTrial();
  }

  /**
   * Records that a target ran the request to its first piece or its answer and is still running.
   */
  recordHarmlessRun(): void {
    if (this.isHarmless) {
      return;
    }
    this.isHarmless = true;
    if (this.mayBeSuspected) {
      this.guard.clearRequest(this.name);
    }
    this.endTrial();
  }

  /**
   * Handles the quarantine of any request; ends this one if it has the same identity and no open
   * check.
   */
  onQuarantined(request: RequestIdentity, service: string): void {
    const isOpen =
      service === this.details.service && !this.isHarmless && this.openCheckCount === 0;
    if (isOpen && request === this.name) {
      this.details.onQuarantined();
    }
  }

  /** Ends the tracking after the final answer. */
  close(): void {
    this.isClosed = true;
    if (this.openCheckCount === 0) {
      this.endTrial();
    }
    this.guard.onClosed();
  }

  /**
   * Identity of the request; hashed only on demand, since it is not needed while no request has
   * crashes.
   */
  private get name(): RequestIdentity {
    this.identity ??= identifyRequest(this.details.request);
    return this.identity;
  }

  private get mayBeSuspected(): boolean {
    return this.guard.hasEntriesFor(this.details.service);
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

  private endTrial(): void {
    if (this.isOnTrial) {
      this.isOnTrial = false;
      this.guard.endTrial(this.name);
    }
  }
}
