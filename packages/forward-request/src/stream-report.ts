/** Lines and figures of one streamed request. */
import type { LossCause } from '@limelead/track-service-targets';
import type { EventDetail, Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import countSend from './count-send.js';
import identifyAdmitted from './identify-admitted.js';
import type { TargetOrder } from './dialect.js';

/** How an attempt was lost. */
export interface LossFacts {
  attempt: number;
  target: string;
  cause: LossCause;
  reason: string;
  /** Pieces that the caller has. */
  delivered: number;
  sinceLastPieceMs: number;
  /** Time since the send. */
  runMs: Millis;
  /** Whether this run wrote any piece. */
  wrote: boolean;
  /** Other requests of this VM and of its peers at the target. */
  beside: number;
  /** Where a copy of the run stands. */
  copyAt?: string;
}

/** Writes what was decided about one request. */
export default class StreamReport {
  private firstPieceMs: Millis | undefined;
  private lastPieceAtMs: Millis = 0;
  private longestPauseMs: Millis = 0;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
  ) {}

  sent(
    attempt: number,
    { target, lastPiece, copyTo, continueFrom, remainingMs }: TargetOrder,
  ): void {
    const tracked = this.context.directory.get(target.id);
    this.write('stream-sent', {
      attempt,
      target: target.id,
      nearness: countSend(this.context, target),
      lastPiece,
      copyTo: copyTo?.id,
      continuesCopy: continueFrom !== undefined,
      ownRequests: tracked?.inFlight,
      peerRequests: tracked?.peerRequests,
      remainingMs: Math.round(remainingMs),
    });
  }

  lost({ sinceLastPieceMs, runMs, ...facts }: LossFacts): void {
    this.context.metrics.count('limelead_streams_broken_total', 1, { cause: facts.cause });
    this.write('stream-broken', {
      identity: identifyAdmitted(this.admitted),
      ...facts,
      runMs: Math.round(runMs),
      sinceLastPieceMs: Math.round(sinceLastPieceMs),
    });
  }

  turnedAway(attempt: number, target: string, cause: string, reason: string): void {
    this.context.metrics.count('limelead_streams_turned_away_total', 1, { cause });
    this.write('stream-turned-away', { attempt, target, cause, reason });
  }

  /** A piece goes to the caller. */
  delivered(): void {
    const now = this.context.clock.now();
    if (this.firstPieceMs === undefined) {
      this.firstPieceMs = this.elapsedMs();
      this.context.metrics.recordMs('limelead_first_piece_ms', this.firstPieceMs);
    } else {
      this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastPieceAtMs);
    }
    this.lastPieceAtMs = now;
  }

  /** What the session core observed. */
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
