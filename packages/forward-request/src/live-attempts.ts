/** Attempts in progress of one stream and the resources that each of them holds. */
import type { GuardedRun } from '@limelead/quarantine-requests';
import type { GapEstimate } from '@limelead/suspect-silence';
import type { PieceMeter } from '@limelead/track-service-targets';
import type { Millis, PlaceOutcome, RecoveryPolicy, ServiceTarget } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import type { RunReplica, AttemptRequest } from './dialect.js';
import type { Slot } from './slot-request.js';
import type RunReplicas from './run-replicas.js';
import RunActivity from './run-activity.js';
import type { GiveUpCause } from './monitored-run.js';
import type { LeavingRun } from './run-stopper.js';
import StreamAttempt, { type StreamAttemptEvents } from './stream-attempt.js';
import { maxPauseOf } from './to-generation-request.js';

/** An attempt with its resources. */
export interface LiveAttempt {
  attempt: StreamAttempt;
  slot: Slot;
  /** Undefined if the attempt goes through another VM, which tracks the run itself. */
  run: GuardedRun | undefined;
  /** Replica that the target writes during the run. */
  replica?: RunReplica;
  activity: RunActivity;
  paceMeter: PieceMeter;
  /** Time from the start to the first piece; undefined before it. */
  firstPieceAfterMs?: Millis;
  /** Called when the run has read its prompt. */
  endPrefill: () => void;
  releaseReplica: () => void;
  stopMonitoring: () => void;
}

/** Whether an attempt goes through another VM. */
export function isRelayed({ attempt }: Pick<LiveAttempt, 'attempt'>): boolean {
  return attempt.target.isHelper === true;
}

/** The replica from which the next attempt can resume; engines replicate only runs that write. */
export function findReplica({ activity, replica }: LiveAttempt): RunReplica | undefined {
  return activity.isWriting ? replica : undefined;
}

/** The run of an attempt that is to leave its target. */
export function toLeavingRun(
  { request }: AdmittedRequest,
  { attempt, activity, replica }: LiveAttempt,
  isDisconnected: boolean,
): LeavingRun {
  return {
    requestId: request.requestId,
    target: attempt.target,
    isDisconnected,
    writingSinceMs: activity.firstPieceAtMs,
    replicaTarget: replica?.target,
  };
}

/** Parameters of a new attempt. */
export interface AttemptStart {
  slot: Slot;
  /** Number of the last piece that the caller has received; 0 for none. */
  lastPiece: number;
  policy: RecoveryPolicy;
}

/** Callbacks to the owner of the attempts. */
export interface LiveAttemptsEvents {
  createEvents(number: number): StreamAttemptEvents;
  /** Called right before the request is sent. */
  onSending(number: number, attemptRequest: AttemptRequest): void;
  onSilent(number: number, cause: GiveUpCause): void;
  startRun(target: ServiceTarget): GuardedRun;
}

/** Holds attempts by their numbers. */
export default class LiveAttempts {
  private readonly live = new Map<number, LiveAttempt>();
  /** Gaps of the last run that ended. */
  private carried: GapEstimate | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
    private readonly replicas: RunReplicas,
    private readonly events: LiveAttemptsEvents,
  ) {}

  get(number: number): LiveAttempt | undefined {
    return this.live.get(number);
  }

  /** Sends the request to the target of the slot. */
  start(number: number, { slot, lastPiece, policy }: AttemptStart): void {
    const attemptRequest = this.composeRequest(slot, lastPiece);
    const { replicaTarget, resumeFrom, target } = attemptRequest;
    const { directory, silence } = this.context;
    const attempt = new StreamAttempt(
      this.context,
      attemptRequest,
      this.events.createEvents(number),
    );
    // A silent run may still be there.
    this.carried = [...this.live.values()].at(-1)?.activity.carry() ?? this.carried;
    const activity = this.createActivity(number, attemptRequest, policy);
    const paceMeter = this.createPaceMeter(target);
    this.live.set(number, {
      paceMeter,
      attempt,
      slot,
      run: target.isHelper === true ? undefined : this.events.startRun(target),
      replica: replicaTarget && { target: replicaTarget, runId: attemptRequest.request.requestId },
      activity,
      endPrefill: resumeFrom ? () => undefined : this.startReadingPrompt(slot),
      releaseReplica: replicaTarget
        ? directory.addReplica(replicaTarget.id, slot.memory)
        : () => undefined,
      stopMonitoring: silence.monitor(activity),
    });
    this.events.onSending(number, attemptRequest);
    this.context.runStopper.onRunStarted(attemptRequest.request.requestId, target.id);
    attempt.send();
  }

  /** Monitors a run for silence again after it was reported silent. */
  watchAgain(number: number): void {
    const live = this.live.get(number);
    if (live !== undefined) {
      live.stopMonitoring();
      live.stopMonitoring = this.context.silence.monitor(live.activity);
    }
  }

  /** Releases the resources of an attempt that has ended. */
  release(number: number, outcome?: PlaceOutcome): void {
    const live = this.live.get(number);
    if (live !== undefined) {
      this.live.delete(number);
      this.carried = live.activity.carry();
      live.stopMonitoring();
      live.endPrefill();
      live.releaseReplica();
      live.slot.release(outcome);
      live.run?.abandon();
    }
  }

  /** Cancels an attempt and stops its run. */
  drop(number: number): void {
    const live = this.live.get(number);
    if (live !== undefined) {
      live.attempt.cancel();
      this.context.runStopper.stopCancelled(toLeavingRun(this.admitted, live, true));
      this.release(number);
    }
  }

  /**
   * Pauses or continues reading from the targets. An attempt that can't be paused, or that starts
   * later, is read on.
   */
  setReadPaused(isPaused: boolean): void {
    for (const { attempt, activity, paceMeter } of this.live.values()) {
      paceMeter.restart();
      activity.setReadPaused(isPaused && attempt.pauseReading());
      if (!isPaused) {
        attempt.resumeReading();
      }
    }
  }

  dropAll(): void {
    [...this.live.keys()].forEach((number) => this.drop(number));
  }

  private startReadingPrompt({ tracked: { target } }: Slot): () => void {
    const { directory } = this.context;
    const { promptTokens } = this.admitted.request;
    const extraReading = directory.tokens.recordPrompt(target.service, promptTokens);
    return directory.startReadingPrompt(target.id, extraReading);
  }

  private composeRequest(slot: Slot, lastPiece: number): AttemptRequest {
    const { request, organisation, rank, dueAtMs } = this.admitted;
    const { target } = slot.tracked;
    return {
      request,
      target,
      organisation,
      remainingMs: dueAtMs - this.context.clock.now(),
      lastPiece,
      resumeFrom: this.replicas.takeReplicaAt(target),
      replicaTarget: this.replicas.chooseReplicaTarget(slot),
      rank,
    };
  }

  /** Measures the slowness that peers receive, and the present pace of the target. */
  private createPaceMeter(target: ServiceTarget): PieceMeter {
    const meters = [
      this.context.slowness.createMeter(target),
      this.context.directory.pace.createMeter(target),
    ];
    return {
      recordPieces: (count, now) => meters.forEach((meter) => meter.recordPieces(count, now)),
      restart: () => meters.forEach((meter) => meter.restart()),
    };
  }

  /**
   * A run that reads its prompt stays for as long as another target could still read it: reports do
   * not list it, and a target that cannot stop it may work on.
   */
  private findPrefillLimit(): Millis {
    const { clock, prefill } = this.context;
    const maxPrefillMs = prefill.maxMs(this.admitted);
    return Math.max(maxPrefillMs, this.admitted.dueAtMs - clock.now() - maxPrefillMs);
  }

  private createActivity(
    number: number,
    { request, target, resumeFrom }: AttemptRequest,
    policy: RecoveryPolicy,
  ): RunActivity {
    const { clock, directory } = this.context;
    return new RunActivity({
      requestId: request.requestId,
      target,
      resumesFromReplica: resumeFrom !== undefined,
      policy,
      maxPrefillMs: this.findPrefillLimit(),
      maxPauseMs: maxPauseOf(this.admitted.route),
      carried: this.carried,
      clock,
      directory,
      onSilent: (cause) => this.events.onSilent(number, cause),
    });
  }
}
