/** Interface of a duty for the code that carries it out. */
import type { Millis } from '@limelead/types';

/** Permission for one call of a duty. */
export interface DutyPermit {
  /** Fencing token; higher for each later holder. */
  token: number;
  /** Steady time since which this VM holds the duty. */
  heldSinceMs: Millis;
}

/** A duty that one VM at a time holds; it may be this one. */
export interface Duty {
  /** Name of this VM, for calls that carry it. */
  readonly holder: string;
  /**
   * Returns the permit for one call; undefined unless this VM is certain to hold the duty until the
   * call arrives. Must be called right before each call, since the process may have been paused.
   * @param arrivalMs time by which the call has arrived or is lost; 0 if nothing is sent
   */
  permit(arrivalMs: Millis): DutyPermit | undefined;
  /** Stops any use of this token, because a later holder's token was seen. */
  markTokenOutdated(token: number): void;
}
