/**
 * Runs whose targets, or the keepers of their copies, are about to be taken away. Those at
 * such a target go on elsewhere before its end, a few at a time: all targets of a domain end
 * together, and their runs would meet at the keepers of their copies. Those with such a
 * keeper go on there while it lasts, and have another copy made: without, the loss of their
 * own target soon after made them read their prompts again.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { Millis, Random, ServiceTarget, Timers } from '@limelead/types';

/** Time before a target's end by which its runs are gone, in milliseconds: what a move takes. */
const RESERVE_MS = 500;
/** Time in which runs move where nothing tells the time left, in milliseconds; notices are longer. */
const UNTOLD_MS = 1_000;

/** Time in which runs go on at a keeper that leaves, in milliseconds: then a new copy is whole in time. */
const AT_KEEPER_MS = 800;

/** One run under watch. */
export interface LeavableRun {
  target: ServiceTarget;
  /** Where its copy stands. */
  keeper?: ServiceTarget;
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
    const ends = [run.target, ...(run.keeper === undefined ? [] : [run.keeper])].map(({ id }) =>
      this.watchAt(id, run),
    );
    return () => ends.forEach((end) => end());
  }

  private watchAt(id: string, run: LeavableRun): () => void {
    const runs = this.runs.get(id) ?? new Set();
    this.runs.set(id, runs.add(run));
    return () => {
      runs.delete(run);
      if (runs.size === 0 && this.runs.get(id) === runs) {
        this.runs.delete(id);
      }
    };
  }

  /** A target told that it leaves. Others than spot ones, and without a time, let their runs end. */
  leave({ id, isSpot, leavesInMs }: ServiceTarget): void {
    if (isSpot !== true && leavesInMs === undefined) {
      return;
    }
    const { timers, random } = this.options;
    const withinMs: Millis = Math.max(0, (leavesInMs ?? UNTOLD_MS + RESERVE_MS) - RESERVE_MS);
    for (const run of this.runs.get(id) ?? []) {
      const isKeeper = run.keeper?.id === id;
      const untilMs = isKeeper ? Math.min(withinMs, AT_KEEPER_MS) : withinMs;
      timers.after(random.next() * untilMs, () => this.move(id, run));
    }
  }

  private move(id: string, run: LeavableRun): void {
    if (this.runs.get(id)?.has(run) === true) {
      const isMoved = run.moveOn();
      this.options.log.write('run-leaves', { target: id, isMoved });
    }
  }
}
