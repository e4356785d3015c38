/** Log lines and metrics of one streamed request. */
import type { LossCause } from '@limelead/track-service-targets';
import type { EventDetail, Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import countAttempt from './count-attempt.js';
import identifyAdmittedRequest from './identify-admitted-request.js';
import type { AttemptRequest } from './dialect.js';
import { isRelayed, type LiveAttempt } from './live-attempts.js';

/** Fields of the log line about a lost attempt. */
export interface LostAttempt {
  attempt: number;
  target: string;
  cause: LossCause;
  reason: string;
  /** Number of pieces that the caller has received. */
  delivered: number;
  sinceLastPieceMs: number;
  /** Time since the start of the attempt. */
  runMs: Millis;
  /** True if the run wrote a piece. */
  wrote: boolean;
  /** Number of other requests of all VMs at the target. */
  beside: number;
  /** Id of the replica target. */
  copyAt?: string;
}

/** Writes the log lines and metrics of one stream. */
export default class StreamReport {
  private firstPieceMs: Millis | undefined;
  private lastPieceAtMs: Millis = 0;
  private longestPauseMs: Millis = 0;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
  ) {}

  /** Reports that a caller resumes a stream that it has received in part. */
  resumeRequested(): void {
    const { firstAttemptId, lastPiece } = this.admitted.request;
    this.write('stream-resume-requested', {
      firstAttemptId,
      lastPiece,
      service: this.admitted.service,
    });
  }

  sent(
    attempt: number,
    { target, lastPiece, replicaTarget, resumeFrom, remainingMs }: AttemptRequest,
  ): void {
    const tracked = this.context.directory.get(target.id);
    this.write('stream-sent', {
      attempt,
      target: target.id,
      version: target.version,
      nearness: countAttempt(this.context, target),
      lastPiece,
      copyTo: replicaTarget?.id,
      continuesCopy: resumeFrom !== undefined,
      ownRequests: tracked?.inFlight,
      peerRequests: tracked?.peerRequests,
      remainingMs: Math.round(remainingMs),
    });
  }

  lost({ sinceLastPieceMs, runMs, ...fields }: LostAttempt): void {
    this.context.metrics.count('limelead_streams_broken_total', 1, { cause: fields.cause });
    this.write('stream-broken', {
      identity: identifyAdmittedRequest(this.admitted),
      ...fields,
      runMs: Math.round(runMs),
      sinceLastPieceMs: Math.round(sinceLastPieceMs),
    });
  }

  /** Reports that a silent run stays, since the stream cannot go on elsewhere now. */
  runKept(attempt: number, target: string, reason = 'no other target is available'): void {
    this.context.metrics.count('limelead_silent_runs_total', 1, { outcome: 'kept' });
    this.write('silent-run-kept', { attempt, target, reason });
  }

  /** Reports that a run has written again during the search for another target. */
  runReturned(attempt: number, target: string, silentMs: Millis): void {
    this.context.metrics.count('limelead_silent_runs_total', 1, { outcome: 'returned' });
    this.write('silent-run-returned', { attempt, target, silentMs: Math.round(silentMs) });
  }

  /** Reports to the observer that an attempt ended; the VM that relays a stream reports its runs. */
  attemptEnded(live: LiveAttempt, isGood: boolean): void {
    const { attempt, activity, firstPieceAfterMs } = live;
    const { clock, observer } = this.context;
    if (!isRelayed(live)) {
      const afterMs = firstPieceAfterMs ?? clock.now() - activity.startedAtMs;
      observer.onAttemptEnded?.(this.admitted, attempt.target, { isGood, afterMs });
    }
  }

  rejected(attempt: number, target: string, cause: string, reason: string): void {
    this.context.metrics.count('limelead_streams_turned_away_total', 1, { cause });
    this.write('stream-turned-away', { attempt, target, cause, reason });
  }

  /** Records that a piece was passed to the caller. */
  pieceDelivered(): void {
    const now = this.context.clock.now();
    if (this.firstPieceMs === undefined) {
      this.firstPieceMs = this.elapsedMs();
      this.context.metrics.recordMs('limelead_first_piece_ms', this.firstPieceMs);
    } else {
      this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastPieceAtMs);
    }
    this.lastPieceAtMs = now;
  }

  /** Reports an event of the session core. */
  observed(detail: EventDetail): void {
    if (detail.kind === 'streamContinued') {
      const { target, attempt, resumeLatencyMs } = detail;
      this.context.metrics.recordMs('limelead_resume_ms', resumeLatencyMs);
      this.write('stream-continued', {
        target,
        attempt,
        resumeLatencyMs: Math.round(resumeLatencyMs),
      });
    } else if (detail.kind === 'recoveryPlanned') {
      this.write('recovery-planned', { way: detail.way, reason: detail.reason });
    }
  }

  finished(outcome: string, delivered: number, sends: number): void {
    const durationMs = Math.round(this.elapsedMs());
    const { service, request } = this.admitted;
    if (outcome === 'answered' && request.lastPiece === 0 && delivered > 0) {
      this.context.directory.tokens.recordOutput(service, delivered);
    }
    this.context.metrics.count('limelead_streams_total', 1, { outcome });
    this.context.metrics.recordMs('limelead_stream_ms', durationMs);
    this.write('stream-finished', {
      outcome,
      delivered,
      sends,
      durationMs,
      firstPieceMs: this.firstPieceMs && Math.round(this.firstPieceMs),
      longestPauseMs: Math.round(this.longestPauseMs),
    });
  }

  private elapsedMs(): number {
    return this.context.clock.now() - this.admitted.receivedAtMs;
  }

  private write(event: string, fields: Parameters<ForwardContext['log']['write']>[1]): void {
    this.context.log.write(event, { requestId: this.admitted.request.requestId, ...fields });
  }
}
