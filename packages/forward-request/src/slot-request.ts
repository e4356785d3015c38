/** A slot at a target, and what it is wanted for. */
import type { TrackedServiceTarget } from '@limelead/track-service-targets';
import type { Millis } from '@limelead/types';

/** What a slot is wanted for. */
export interface SlotRequest {
  requestId: string;
  service: string;
  affinityKey: string;
  exclude: ReadonlySet<string>;
  rank: number;
  /** The target may end under the request: only those with the fewest others are looked at. */
  avoidsOthers?: boolean;
  /** A second send beside the first: takes no permit that another request could have. */
  isExtra?: boolean;
  /** Steady time at which waiting ends. */
  untilMs: Millis;
  /** Least time that the target needs for an answer, in milliseconds. */
  serviceMs?: Millis;
}

/** A slot at a target; `release` gives it back. */
export interface Slot {
  tracked: TrackedServiceTarget;
  /** Where the scheduler would keep a copy of the run. */
  copyTo?: string;
  release(): void;
}
