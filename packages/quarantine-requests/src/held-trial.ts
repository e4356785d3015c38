/** The trial that one request holds: from its admission to the end of the run that follows. */
import type GuardedRun from './guarded-run.js';

/** A trial, or none; the end of another run of the request does not end it. */
export default class HeldTrial {
  private isHeld = false;
  /** The run of the trial; undefined until it starts. */
  private run: GuardedRun | undefined;

  /** @param onEnded called at each end of a trial */
  constructor(private readonly onEnded: () => void) {}

  /** The request was admitted to a trial. */
  begin(): void {
    this.isHeld = true;
    this.run = undefined;
  }

  /** A run starts; returns whether it is that of the trial. */
  startRun(run: GuardedRun): boolean {
    if (!this.isHeld || this.run !== undefined) {
      return false;
    }
    this.run = run;
    return true;
  }

  end(): void {
    if (this.isHeld) {
      this.isHeld = false;
      this.run = undefined;
      this.onEnded();
    }
  }

  /** Ends a trial of that run. */
  endWith(run: GuardedRun): void {
    if (this.run === run) {
      this.end();
    }
  }

  /** Ends a trial whose run has not started. */
  endUnstarted(): void {
    if (this.run === undefined) {
      this.end();
    }
  }

  /** Passes a trial of that run on to somebody who will end it; returns whether there was one. */
  passOn(run: GuardedRun): boolean {
    const isPassedOn = this.run === run;
    if (isPassedOn) {
      this.isHeld = false;
      this.run = undefined;
    }
    return isPassedOn;
  }
}
