/** Moves the silent runs of one stream to other targets. */
import { hasBreaksLeft, type SessionEvent, type SessionState } from '@limelead/generation-session';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import type LiveAttempts from './live-attempts.js';
import { findReplica, isRelayed, toLeavingRun, type LiveAttempt } from './live-attempts.js';
import { SILENCE_REASONS, type GiveUpCause } from './monitored-run.js';
import StoppedAttempt from './stopped-attempt.js';
import RunRelocation from './run-relocation.js';
import type RunReplicas from './run-replicas.js';
import type SlotSearch from './slot-search.js';
import type { SlotSearchEvents } from './slot-search.js';
import type { Slot } from './slot-request.js';
import type StreamAttemptTracker from './stream-attempt-tracker.js';
import { observeLostTarget } from './stream-observation.js';
import type StreamRefusals from './stream-refusals.js';
import type StreamReport from './stream-report.js';

/** Parts of the stream that a relocation uses. */
export interface RelocatedStream {
  context: ForwardContext;
  admitted: AdmittedRequest;
  live: LiveAttempts;
  attempts: StreamAttemptTracker;
  replicas: RunReplicas;
  refusals: StreamRefusals;
  report: StreamReport;
}

/** Callbacks to the stream. */
export interface StreamRelocationEvents {
  readState(): SessionState;
  /** @param replaces target whose silent run the slot is to replace */
  createSearch(exclude: string[], events: SlotSearchEvents, replaces: string): SlotSearch;
  /** Sets the slot of the next attempt. */
  setNextSlot(slot: Slot): void;
  advance(event: SessionEvent): void;
  /** Ends a silent attempt. */
  lose(attempt: number, reason: string): void;
}

/** The relocations of one stream, one at a time. */
export default class StreamRelocation {
  private relocation: RunRelocation | undefined;
  /** Stop that the target of a silent run was asked for. */
  private stopping: StoppedAttempt | undefined;

  constructor(
    private readonly stream: RelocatedStream,
    private readonly events: StreamRelocationEvents,
  ) {}

  /** Looks for another target. */
  onSilent(attempt: number, cause: GiveUpCause): void {
    const { attempts, context, live: all } = this.stream;
    const live = all.get(attempt);
    if (live === undefined) {
      return;
    }
    this.relocation?.onAccepted(attempt);
    const { id } = live.attempt.target;
    attempts.recordLoss(id, 'silent');
    if (cause === 'target-lost') {
      observeLostTarget(context, id, 'lost');
    }
    this.relocation = this.createRelocation(attempt, live, cause);
    this.relocation.begin();
  }

  /** A target has accepted an attempt. */
  onAccepted(attempt: number): void {
    this.relocation?.onAccepted(attempt);
  }

  /** A run has written; if it was reported silent, it is kept. */
  onPieces(attempt: number): void {
    if (this.relocation?.attempt === attempt) {
      this.onRunReturned(attempt);
    }
    this.relocation?.onAccepted(attempt);
  }

  /**
   * The stream of an attempt has ended. Returns true if its target was asked to stop the run, so that
   * the relocation handles the end; a complete stream is one only until the target has stopped it.
   */
  onStreamClosed(attempt: number, isComplete: boolean): boolean {
    return this.stopping?.attempt === attempt && this.stopping.onClosed(isComplete);
  }

  /** Whether an attempt was started beside a silent run. */
  isBeside(attempt: number): boolean {
    return this.relocation !== undefined && this.relocation.attempt !== attempt;
  }

  /** An attempt has ended. */
  onReleased(attempt: number): void {
    if (this.relocation?.attempt === attempt) {
      this.cancel();
    } else {
      this.relocation?.onNextFailed();
    }
  }

  cancel(): void {
    this.relocation?.cancel();
    this.relocation = undefined;
  }

  private createRelocation(attempt: number, live: LiveAttempt, cause: GiveUpCause): RunRelocation {
    const { admitted, context, replicas, report } = this.stream;
    const { id } = live.attempt.target;
    // A VM that relays ends the run itself once its connection closes.
    const startsBeside = cause === 'target-lost' || isRelayed(live);
    return new RunRelocation({
      ...{ timers: context.timers, attempt },
      createSearch: (events) => {
        replicas.onRunLost(findReplica(live));
        const exclude = [...this.events.readState().excludedTargets, id];
        return this.events.createSearch(exclude, events, id);
      },
      startsBeside,
      onSlot: (slot) =>
        startsBeside
          ? this.startBeside(attempt, id, slot)
          : void this.startAfterStop(attempt, live, slot, cause),
      onKept: (error) => report.runKept(attempt, id, error?.message),
      onAccepted: () => {
        this.leave(attempt, cause);
        context.runStopper.stopCancelled(toLeavingRun(admitted, live, true));
      },
    });
  }

  /** Ends the silent attempt; the stream goes on with the next one. */
  private leave(attempt: number, cause: GiveUpCause): void {
    this.cancel();
    this.events.lose(attempt, SILENCE_REASONS[cause]);
    this.events.advance({ kind: 'broken', attempt, cause: 'target-gone' });
  }

  /** Starts the next attempt once the target, which is up, has stopped the run. */
  private async startAfterStop(
    attempt: number,
    live: LiveAttempt,
    slot: Slot,
    cause: GiveUpCause,
  ): Promise<void> {
    const { admitted, context, live: all, refusals, replicas } = this.stream;
    if (!hasBreaksLeft(this.events.readState())) {
      slot.release();
      this.keep(attempt, refusals.movedTooOften().message);
      return;
    }
    const { relocation } = this;
    const stopping = new StoppedAttempt(attempt, context.timers);
    this.stopping = stopping;
    const end = await context.runStopper.stop(toLeavingRun(admitted, live, false));
    if (end === 'ended') {
      await stopping.awaitClose();
    }
    if (this.stopping === stopping) {
      this.stopping = undefined;
    }
    const isLive = all.get(attempt) === live;
    const isCurrent = relocation !== undefined && this.relocation === relocation;
    if (isLive && (stopping.isClosed || (isCurrent && end === 'ended'))) {
      replicas.onRunLost(findReplica(live));
      this.events.setNextSlot(slot);
      this.leave(attempt, cause);
      return;
    }
    slot.release();
    if (isLive && isCurrent) {
      this.keep(attempt, 'its target did not stop it');
    }
  }

  /** Keeps a run that could not be stopped at a target that is up. */
  private keep(attempt: number, reason: string): void {
    const { live, report } = this.stream;
    const run = live.get(attempt);
    this.cancelFor(run);
    if (run !== undefined) {
      run.activity.stay();
      live.watchAgain(attempt);
      report.runKept(attempt, run.attempt.target.id, reason);
    }
  }

  /** Starts the next attempt beside a silent run; without breaks left, the run stays for good. */
  private startBeside(attempt: number, target: string, slot: Slot): void {
    if (hasBreaksLeft(this.events.readState())) {
      this.events.setNextSlot(slot);
      this.events.advance({ kind: 'silent', attempt });
    } else {
      const { refusals, report } = this.stream;
      slot.release();
      this.cancel();
      report.runKept(attempt, target, refusals.movedTooOften().message);
    }
  }

  /** Keeps a run that has written although it was reported silent. */
  private onRunReturned(attempt: number): void {
    const { context, live, report } = this.stream;
    const run = live.get(attempt);
    this.cancelFor(run);
    if (run !== undefined) {
      const silentMs = context.clock.now() - run.activity.lastActivityAtMs;
      live.watchAgain(attempt);
      report.runReturned(attempt, run.attempt.target.id, silentMs);
    }
  }

  /** Cancels the relocation of a run that stays, and returns what was reserved for its successor. */
  private cancelFor(run: LiveAttempt | undefined): void {
    const { attempts, replicas } = this.stream;
    this.cancel();
    if (run !== undefined) {
      attempts.recordReturn(run.attempt.target.id);
      attempts.releaseRetry();
      replicas.onRunLost(undefined);
    }
  }
}
