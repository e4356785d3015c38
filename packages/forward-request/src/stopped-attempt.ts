/** An open attempt whose target was asked to stop the run, and the end of its stream. */
import { delay, type Millis, type Timers } from '@limelead/types';

/** Time for a target that has stopped a run to close its stream; it may finish the present piece. */
const CLOSE_TIMEOUT_MS: Millis = 1_000;

export default class StoppedAttempt {
  isClosed = false;
  private isStopped = false;
  private notifyClosed: () => void = () => undefined;
  private readonly closed = new Promise<void>((resolve) => (this.notifyClosed = resolve));

  constructor(
    readonly attempt: number,
    private readonly timers: Timers,
  ) {}

  /** Returns false for a stream that was complete before its target stopped the run. */
  onClosed(isComplete: boolean): boolean {
    if (isComplete && !this.isStopped) {
      return false;
    }
    this.isClosed = true;
    this.notifyClosed();
    return true;
  }

  /** The target has stopped the run. Resolves once the stream is closed, or at a timeout. */
  async awaitClose(): Promise<void> {
    this.isStopped = true;
    await Promise.race([this.closed, delay(this.timers, CLOSE_TIMEOUT_MS)]);
  }
}
