/** A run as the silence monitor sees it, and why it is given up. */
import type { Millis, ServiceTarget } from '@limelead/types';

/**
 * Why a run is given up: it is left once another target has accepted the request. The target is lost
 * only in the first case.
 */
export type GiveUpCause = 'target-lost' | 'not-listed' | 'too-long';

/** The causes as the line of a broken stream states them. */
export const SILENCE_REASONS: Readonly<Record<GiveUpCause, string>> = {
  'target-lost': 'no data from the target',
  'not-listed': 'the target repeatedly did not list the run',
  'too-long': 'the prompt was read for too long at a target that answers',
};

/** A run that is monitored for silence. */
export interface MonitoredRun {
  requestId: string;
  target: ServiceTarget;
  /** Time of the last piece, or of the start. */
  lastActivityAtMs: Millis;
  startedAtMs: Millis;
  /** False while the run reads its prompt. */
  isWriting: boolean;
  /** Consecutive probe answers that did not list the run. */
  missedProbes: number;
  /** Longest pause that the route allows. */
  maxPauseMs: Millis;
  /** Longest silence in milliseconds that is normal for the run. */
  maxSilenceMs(): number;
  /** Called when the run is given up; it is not monitored any more. */
  onSilent(cause: GiveUpCause): void;
}
