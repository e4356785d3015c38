/**
 * Runs whose targets are about to be taken away. They go on elsewhere before the end, a few
 * at a time: all targets of a domain end together, and their runs would meet at the keepers
 * of their copies.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { Millis, Random, ServiceTarget, Timers } from '@limelead/types';

/** Time before a target's end by which its runs are gone, in milliseconds: what a move takes. */
const RESERVE_MS = 500;
/** Time in which runs move where nothing tells the time left, in milliseconds; notices are longer. */
const UNTOLD_MS = 1_000;

/** One run under watch. */
export interface LeavableRun {
  target: ServiceTarget;
  /** Goes on elsewhere where a copy allows it; gives whether it does. */
  moveOn(): boolean;
}

/** What moving needs. */
export interface LeavingRunsOptions {
  timers: Timers;
  random: Random;
  log: DecisionLog;
}

/** Knows the runs of this VM by their targets. */
export default class LeavingRuns {
  private readonly runs = new Map<string, Set<LeavableRun>>();

  constructor(private readonly options: LeavingRunsOptions) {}

  /** Begins to watch a run; the result ends it. */
  watch(run: LeavableRun): () => void {
    const { id } = run.target;
    const runs = this.runs.get(id) ?? new Set();
    this.runs.set(id, runs.add(run));
    return () => {
      runs.delete(run);
      if (runs.size === 0 && this.runs.get(id) === runs) {
        this.runs.delete(id);
      }
    };
  }

  /** A target told that it leaves. Others than spot ones let their runs end. */
  leave({ id, isSpot, leavesInMs }: ServiceTarget): void {
    if (isSpot !== true) {
      return;
    }
    const { timers, random } = this.options;
    const withinMs: Millis = Math.max(0, (leavesInMs ?? UNTOLD_MS + RESERVE_MS) - RESERVE_MS);
    for (const run of this.runs.get(id) ?? []) {
      timers.after(random.next() * withinMs, () => this.move(run));
    }
  }

  private move(run: LeavableRun): void {
    const { id } = run.target;
    if (this.runs.get(id)?.has(run) === true) {
      const isMoved = run.moveOn();
      this.options.log.write('run-leaves', { target: id, isMoved });
    }
  }
}
