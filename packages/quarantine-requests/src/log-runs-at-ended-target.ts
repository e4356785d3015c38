/** Logs the runs that a target may have ended under without any of them counting as a crash. */
import type { DecisionLog } from '@limelead/decision-log';
import type { Clock } from '@limelead/types';
import type { RunsAtTarget } from './run-ledger.js';

/** Maximum number of lines for one target. */
const MAX_LINES = 20;

export default function logRunsAtEndedTarget(
  { clock, log }: { clock: Clock; log: Pick<DecisionLog, 'write'> },
  target: string,
  { open, unsettled }: RunsAtTarget,
): void {
  const now = clock.now();
  const runs = [
    ...open.map(({ startedAtMs, hasOutput, owner }) => ({
      ...{ startedAtMs, endedAtMs: undefined, end: 'open', hasOutput, request: owner.summarize() },
    })),
    ...unsettled,
  ];
  for (const { startedAtMs, endedAtMs, end, hasOutput, request } of runs.slice(0, MAX_LINES)) {
    const { identity, requestId, path } = request;
    log.write('run-not-counted', {
      ...{ requestId, identity, path, target, end, hasOutput, runs: runs.length },
      startedAgoMs: Math.round(now - startedAtMs),
      endedAgoMs: endedAtMs === undefined ? undefined : Math.round(now - endedAtMs),
    });
  }
}
