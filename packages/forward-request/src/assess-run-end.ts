/**
 * Decides whether a run that leaves its target has ended there. Pure. A closed connection does not
 * show it: not every target ends a run whose connection closes.
 */
import type { Millis } from '@limelead/types';
import type { StopAnswer } from './dialect.js';

/** Reports are up to this old, so that a younger run may be missing from them. */
export const REPORT_LAG_MS: Millis = 700;

/** Why a call got no answer; only the second one may be due to a single connection. */
export type CallFailure = 'unreachable' | 'broken' | 'unanswered';

/** What a report of the target says of the run. */
export interface RunReport {
  listsRun: boolean;
  /** Number of requests that wait at the target, among them preempted runs, which it does not list. */
  waiting: number;
}

/** What is known of a run that leaves; undefined where the target was not asked or has not answered yet. */
export interface RunEndEvidence {
  stop?: StopAnswer['outcome'] | CallFailure;
  report?: RunReport | CallFailure;
  /** False while the connection of the run is open. */
  isDisconnected: boolean;
  /** Time since the first piece; undefined for a run that reads its prompt, which no report lists. */
  writingForMs?: Millis;
  /** Time for which the reports since the connection closed have not listed the run. */
  unlistedForMs: Millis;
}

/** "lost" is a target that cannot be asked; "running" is a run that is not known to have ended. */
export type RunEnd = 'ended' | 'lost' | 'running';

export default function assessRunEnd(evidence: RunEndEvidence): RunEnd {
  const { stop, report } = evidence;
  if (stop === 'stopped' || stop === 'other-target') {
    return 'ended';
  }
  // Targets may know a request as a run only once it writes.
  if (stop === 'no-such-run' && (evidence.isDisconnected || evidence.writingForMs !== undefined)) {
    return 'ended';
  }
  const isSilent = report === 'unanswered' && (stop === undefined || stop === 'unanswered');
  if (stop === 'unreachable' || report === 'unreachable' || isSilent) {
    return 'lost';
  }
  return typeof report === 'object' && isEndedByReport(report, evidence) ? 'ended' : 'running';
}

function isEndedByReport(
  { listsRun, waiting }: RunReport,
  { isDisconnected, writingForMs = 0, unlistedForMs }: RunEndEvidence,
): boolean {
  if (listsRun) {
    return false;
  }
  const wasListed = writingForMs >= REPORT_LAG_MS && waiting === 0;
  return wasListed || (isDisconnected && unlistedForMs >= REPORT_LAG_MS);
}
