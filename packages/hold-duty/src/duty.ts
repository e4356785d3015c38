/** A duty as those see it that carry it out. */
import type { Millis } from '@limelead/types';

/** What a call of the duty carries. */
export interface DutyPermit {
  /** Higher for each later holder. */
  token: number;
  /** Steady time since which this VM holds the duty. */
  heldSinceMs: Millis;
}

/** A duty that one VM at a time holds; it may be this one. */
export interface Duty {
  /** Name of this VM, for calls that carry it. */
  readonly holder: string;
  /**
   * The permit for one call; undefined where this VM is not sure to hold the duty until the
   * call arrived. Asked again right before each call, since the process may have stood still.
   * @param arrivalMs longest time until the call arrives or is lost, in milliseconds; 0 for a
   * look behind which nothing is sent
   */
  permit(arrivalMs: Millis): DutyPermit | undefined;
  /** A later holder's token was seen by somebody: this one is never used again. */
  markTokenOutdated(token: number): void;
}
