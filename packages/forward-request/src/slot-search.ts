/**
 * Searches a slot for one attempt of a stream, in steps: whether another attempt is allowed, the
 * version that may run it, a retry from the budget, the admission of suspected requests, and a
 * target.
 */
import type { LimeleadError } from '@limelead/errors';
import type { GuardedRequest } from '@limelead/quarantine-requests';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import findStreamSlot from './find-stream-slot.js';
import type RunReplicas from './run-replicas.js';
import type { SlotRefusal } from './slot-refusal.js';
import type { Slot } from './slot-request.js';
import type StreamAttemptTracker from './stream-attempt-tracker.js';
import type StreamRefusals from './stream-refusals.js';
import type StreamVersion from './stream-version.js';

/** The parts of one stream that decide about its next attempt. */
export interface SlotSearchParts {
  context: ForwardContext;
  admitted: AdmittedRequest;
  attempts: StreamAttemptTracker;
  replicas: RunReplicas;
  version: StreamVersion;
  refusals: StreamRefusals;
  guarded: GuardedRequest;
}

/** Progress of the stream, and where not to search. */
export interface SlotSearchStart {
  /** Number of the last piece that the caller has received; 0 for none. */
  delivered: number;
  /** Steady time of the last piece; of the start if there is none. */
  lastDeliveredAtMs: number;
  /** Targets that already failed this request. */
  exclude: string[];
  /** Id of the target whose silent run the slot is to replace; undefined without one. */
  replaces?: string;
}

/** Results of a search; one of them is called, once. */
export interface SlotSearchEvents {
  onSlot(slot: Slot): void;
  /** No target is available; a later search may find one. */
  onNoTarget(): void;
  /** The attempt is not allowed, or of no use. */
  onRefused(error: LimeleadError): void;
}

/** One search. */
export default class SlotSearch {
  private isOver = false;
  private readonly cleanups: (() => void)[] = [];

  constructor(
    private readonly parts: SlotSearchParts,
    private readonly start: SlotSearchStart,
    private readonly events: SlotSearchEvents,
  ) {}

  begin(): void {
    const { attempts, version } = this.parts;
    const error = attempts.findFinalError() ?? this.findDeadEnd();
    if (error !== undefined) {
      this.refuse(error);
    } else if (version.isToBeFound(this.start.delivered)) {
      this.findVersion();
    } else {
      this.requestRetry();
    }
  }

  /** Stops the search; no callback follows. */
  cancel(): void {
    this.isOver = true;
    this.cleanups.splice(0).forEach((cleanup) => cleanup());
  }

  /** Error of a stream that no target in reach of this VM can go on with. */
  private findDeadEnd(): LimeleadError | undefined {
    const { admitted, context, refusals, version } = this.parts;
    if (context.relay.mustDecline(admitted)) {
      return refusals.outOfReach();
    }
    return version.isGone ? refusals.versionGone() : undefined;
  }

  private findVersion(): void {
    const { refusals, version } = this.parts;
    this.cleanups.push(
      version.find((isKnown) => {
        if (this.isOver) {
          return;
        }
        if (isKnown) {
          this.begin();
        } else {
          this.refuse(refusals.originUnknown());
        }
      }),
    );
  }

  private requestRetry(): void {
    const { attempts, replicas } = this.parts;
    const { delivered, lastDeliveredAtMs } = this.start;
    const progress = { delivered, lastDeliveredAtMs, hasReplica: replicas.hasUsable };
    this.cleanups.push(
      attempts.requestRetry(progress, (refusal) => {
        if (this.isOver) {
          return;
        }
        if (refusal === undefined) {
          this.requestAdmission();
        } else {
          this.refuse(refusal);
        }
      }),
    );
  }

  private requestAdmission(): void {
    const { admitted, context, guarded, refusals } = this.parts;
    const relaySlot = context.relay.acquire(admitted, new Set(this.start.exclude));
    if (relaySlot !== undefined) {
      this.onSlot(relaySlot);
      return;
    }
    this.cleanups.push(
      guarded.requestAdmission((admission) => {
        if (this.isOver) {
          return;
        }
        if (admission === 'refuse') {
          this.refuse(refusals.quarantined(guarded.quarantineLeftMs));
        } else {
          this.findSlot(admission === 'send-trial');
        }
      }),
    );
  }

  private findSlot(onlyLeastLoaded: boolean): void {
    const { admitted, attempts, context, refusals, replicas, version } = this.parts;
    const { delivered, exclude, replaces } = this.start;
    this.cleanups.push(
      findStreamSlot(context, admitted, replicas, {
        isFirstAttempt: attempts.count === 0,
        hasWritten: delivered > 0,
        softwareVersion: version.current,
        onlyLeastLoaded,
        exclude,
        replaces,
        onSlot: (slot, refusal) => this.onSlot(slot, refusal),
        onTooLate: () => this.refuse(refusals.tooLate()),
      }),
    );
  }

  private onSlot(slot: Slot | undefined, refusal?: SlotRefusal): void {
    const { guarded, refusals } = this.parts;
    if (this.isOver) {
      slot?.release();
      return;
    }
    if (slot !== undefined) {
      this.finish(() => this.events.onSlot(slot));
      return;
    }
    guarded.onNoTarget();
    if (refusal === undefined) {
      this.finish(() => this.events.onNoTarget());
    } else {
      this.refuse(refusals.withoutSlot(refusal));
    }
  }

  private refuse(error: LimeleadError): void {
    this.finish(() => this.events.onRefused(error));
  }

  private finish(notify: () => void): void {
    if (!this.isOver) {
      this.isOver = true;
      notify();
    }
  }
}
