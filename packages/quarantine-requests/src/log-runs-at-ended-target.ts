/** Logs runs at a target that ended which do not count as crashes. */
import type { DecisionLog } from '@limelead/decision-log';
import type { Clock } from '@limelead/types';
import type { RunAtTarget } from './run-ledger.js';

/** Maximum number of lines for one target. */
const MAX_LINES = 20;

export default function logRunsAtEndedTarget(
  { clock, log }: { clock: Clock; log: Pick<DecisionLog, 'write'> },
  runs: readonly RunAtTarget[],
): void {
  const now = clock.now();
  for (const run of runs.slice(0, MAX_LINES)) {
    const { target, startedAtMs, endedAtMs, end, hasOutput } = run;
    const { identity, requestId, path } = run.request;
    log.write('run-not-counted', {
      ...{ requestId, identity, path, target: target.id, end, hasOutput, runs: runs.length },
      startedAgoMs: Math.round(now - startedAtMs),
      endedAgoMs: endedAtMs === undefined ? undefined : Math.round(now - endedAtMs),
    });
  }
}
