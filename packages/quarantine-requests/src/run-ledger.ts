/** Runs of this VM by target, to find those that a target may have ended under. */
import type { Millis } from '@limelead/types';
import type GuardedRun from './guarded-run.js';
import type { RunTarget } from './guarded-run.js';
import type { RequestIdentity } from './identify-request.js';
import type { RequestSummary } from './request-summary.js';

/**
 * How long a run without an answer is kept after its end, in milliseconds. The registry removes a
 * target that ended after three missed heartbeats.
 */
export const UNSETTLED_RUN_TTL_MS = 8_000;
/** Maximum number of such runs; an entry takes about 1 KB. */
const MAX_UNSETTLED_RUNS = 2_000;

/** A run that ended without an answer, whose target was not known to have ended. */
export interface UnsettledRun {
  target: RunTarget;
  startedAtMs: Millis;
  endedAtMs: Millis;
  end: 'broken' | 'abandoned';
  hasOutput: boolean;
  request: RequestSummary;
}

/** A run at a target that ended. */
export type RunAtTarget = Omit<UnsettledRun, 'endedAtMs' | 'end'> & {
  /** Undefined while the run is open. */
  endedAtMs: Millis | undefined;
  end: UnsettledRun['end'] | 'open';
};

/** The runs of one VM. */
export default class RunLedger {
  private readonly open = new Map<string, Set<GuardedRun>>();
  /** Oldest first. */
  private readonly unsettled = new Set<UnsettledRun>();

  get unsettledCount(): number {
    return this.unsettled.size;
  }

  addOpen(run: GuardedRun): void {
    const { id } = run.target;
    const runs = this.open.get(id);
    if (runs === undefined) {
      this.open.set(id, new Set([run]));
    } else {
      runs.add(run);
    }
  }

  removeOpen(run: GuardedRun): void {
    const { id } = run.target;
    const runs = this.open.get(id);
    runs?.delete(run);
    if (runs?.size === 0) {
      this.open.delete(id);
    }
  }

  addUnsettled(run: UnsettledRun): void {
    this.unsettled.add(run);
    this.forgetExpired(run.endedAtMs);
  }

  /** Whether any run may have ended the target. */
  hasRunsAt(target: string): boolean {
    return this.open.has(target) || this.findUnsettled(target).length > 0;
  }

  /** Returns the runs at a target that ended; those without an answer are removed. */
  takeRunsAt(target: string, now: Millis): RunAtTarget[] {
    this.forgetExpired(now);
    const unsettled = this.findUnsettled(target);
    unsettled.forEach((run) => this.unsettled.delete(run));
    return [...this.listOpenAt(target).map(toRunAtTarget), ...unsettled];
  }

  /** Targets at which a request is under way, or may have been when they ended. */
  listTargetsOf(request: RequestIdentity): RunTarget[] {
    const open = [...this.open.values()].flatMap((runs) => [...runs]);
    return [
      ...open.filter(({ owner }) => owner.identity === request),
      ...[...this.unsettled].filter((run) => run.request.identity === request),
    ].map(({ target }) => target);
  }

  /** Open runs at a target. */
  listOpenAt(target: string): GuardedRun[] {
    return [...(this.open.get(target) ?? [])];
  }

  private findUnsettled(target: string): UnsettledRun[] {
    return [...this.unsettled].filter((run) => run.target.id === target);
  }

  private forgetExpired(now: Millis): void {
    for (const run of this.unsettled) {
      const isExpired = now - run.endedAtMs > UNSETTLED_RUN_TTL_MS;
      if (!isExpired && this.unsettled.size <= MAX_UNSETTLED_RUNS) {
        return;
      }
      this.unsettled.delete(run);
    }
  }
}

function toRunAtTarget({ target, startedAtMs, hasOutput, owner }: GuardedRun): RunAtTarget {
  const request = owner.summarize();
  return { target, startedAtMs, endedAtMs: undefined, end: 'open', hasOutput, request };
}
