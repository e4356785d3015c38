/** A sink that pauses reading from the target while the caller reads slowly. */
import type { LimeleadError } from '@limelead/errors';
import type { CancelTimer, Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { AnswerSink } from './answer-sink.js';
import type { ForwardContext } from './context.js';
import decideReading, { MAX_READ_PAUSE_MS, type ReadingState } from './decide-reading.js';
import type { EndedPause } from './read-pauses.js';

/**
 * Memory of a paused read beside the bytes that wait: the connection keeps what it read last, up
 * to 64 KB.
 */
const PAUSED_READ_BYTES = 64 * 1024;

/** The attempts whose answers are written to a sink. */
export interface PausableSource {
  setReadPaused(isPaused: boolean): void;
}

/** Passes an answer on and applies the decisions of `decideReading`. */
export default class PacedSink implements AnswerSink {
  private source: PausableSource | undefined;
  private state: ReadingState = 'reading';
  private pausedAtMs: Millis = 0;
  private cancelTimer: CancelTimer | undefined;

  constructor(
    private readonly context: Pick<ForwardContext, 'clock' | 'timers' | 'readPauses'>,
    private readonly admitted: AdmittedRequest,
    private readonly sink: AnswerSink,
  ) {}

  get waitingBytes(): number {
    return this.sink.waitingBytes;
  }

  /** Paces the source of the answer from now on. */
  readFrom(source: PausableSource): void {
    this.source = source;
    this.sink.onFlushed(() => this.update());
  }

  begin(status: number, rawHeaders: string[], length?: number): void {
    this.sink.begin(status, rawHeaders, length);
  }

  write(bytes: Buffer): void {
    this.sink.write(bytes);
    // Written in an event of a call, where reading must not be resumed.
    if (this.state === 'reading') {
      this.update();
    }
  }

  end(): void {
    this.stop();
    this.sink.end();
  }

  abort(error: LimeleadError): void {
    this.stop();
    this.sink.abort(error);
  }

  refuse(error: LimeleadError): void {
    this.stop();
    this.sink.refuse(error);
  }

  onFlushed(callback: () => void): void {
    this.sink.onFlushed(callback);
  }

  addHeldBytes(bytes: number): void {
    this.sink.addHeldBytes(bytes);
  }

  onCallerLeft(callback: () => void): void {
    this.sink.onCallerLeft(() => {
      this.stop();
      callback();
    });
  }

  onShutdown(callback: () => void): void {
    this.sink.onShutdown(callback);
  }

  private update(): void {
    if (this.source === undefined) {
      return;
    }
    const pausedMs = this.state === 'paused' ? this.context.clock.now() - this.pausedAtMs : 0;
    const next = decideReading(this.state, this.sink.waitingBytes, pausedMs);
    if (next !== this.state) {
      this.change(this.source, next);
    }
  }

  private change(source: PausableSource, next: ReadingState): void {
    const wasPaused = this.state === 'paused';
    this.state = next;
    if (next === 'paused') {
      this.pausedAtMs = this.context.clock.now();
      this.context.readPauses.onPaused();
      this.cancelTimer = this.context.timers.after(MAX_READ_PAUSE_MS, () => this.onPauseOver());
      source.setReadPaused(true);
      this.sink.addHeldBytes(PAUSED_READ_BYTES);
    } else if (wasPaused) {
      this.endPause(next === 'overdue' ? 'overdue' : 'drained');
      source.setReadPaused(false);
    }
  }

  /** A timer may fire early by a fraction of a millisecond, so the clock is not asked. */
  private onPauseOver(): void {
    if (this.source !== undefined && this.state === 'paused') {
      this.change(this.source, decideReading('paused', this.sink.waitingBytes, MAX_READ_PAUSE_MS));
    }
  }

  private endPause(outcome: EndedPause['outcome']): void {
    this.cancelTimer?.();
    this.sink.addHeldBytes(-PAUSED_READ_BYTES);
    this.context.readPauses.onEnded({
      requestId: this.admitted.request.requestId,
      waitingBytes: this.sink.waitingBytes,
      pausedMs: this.context.clock.now() - this.pausedAtMs,
      outcome,
    });
  }

  private stop(): void {
    this.source = undefined;
    if (this.state === 'paused') {
      this.state = 'reading';
      this.endPause('ended');
    }
  }
}
