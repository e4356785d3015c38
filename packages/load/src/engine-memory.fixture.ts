/**
 * A simulated engine with bounded memory. It reads one prompt at a time. When runs and replicas
 * exceed its memory, it preempts the newest run and reads its prompt again later.
 */
import type { CancelTimer, Millis, Timers } from '@limelead/types';

/** Steps in which the output of a run takes memory. */
const OUTPUT_STEPS = 4;
/** Interval at which a preempted run looks for room, in milliseconds. */
const RETRY_MS = 50;

/** One run at an engine. */
export interface EngineRun {
  promptTokens: number;
  outputTokens: number;
  onPrefilled(): void;
  onEnded(): void;
  onPreempted(): void;
}

interface ActiveRun extends EngineRun {
  heldTokens: number;
  cancel: CancelTimer;
}

/** Speed and memory of an engine, and counts over all engines. */
export interface EngineOptions {
  timers: Timers;
  capacityTokens: number;
  promptTokensPerMs: number;
  msPerOutputToken: number;
  counts: { preemptions: number; wastedTokens: number; maxMemoryShare: number };
}

/** Engine of one target. */
export default class SimulatedEngine {
  /** Duration of work as a multiple of the usual one. */
  pace = 1;
  private readonly runs: ActiveRun[] = [];
  private replicaTokens = 0;
  private prefillQueue: { run: ActiveRun }[] = [];
  private isPrefilling = false;

  constructor(private readonly options: EngineOptions) {}

  get runCount(): number {
    return this.runs.length;
  }

  /** Starts a run; one that resumes from a replica skips its prefill. Returns a function that cancels it. */
  start(run: EngineRun, isResumed: boolean): () => void {
    const active: ActiveRun = { ...run, heldTokens: 0, cancel: () => undefined };
    this.runs.push(active);
    this.hold(active, run.promptTokens);
    if (isResumed) {
      this.write(active, 0);
    } else {
      this.queuePrefill(active);
    }
    return () => this.remove(active);
  }

  /** Keeps a replica; returns a function that removes it. */
  addReplica(tokens: number): () => void {
    this.replicaTokens += tokens;
    this.preemptIfFull();
    return () => void (this.replicaTokens -= tokens);
  }

  private get usedTokens(): number {
    return this.runs.reduce((sum, { heldTokens }) => sum + heldTokens, this.replicaTokens);
  }

  private hold(run: ActiveRun, tokens: number): void {
    run.heldTokens += tokens;
    this.preemptIfFull();
  }

  private preemptIfFull(): void {
    const { capacityTokens, counts } = this.options;
    counts.maxMemoryShare = Math.max(counts.maxMemoryShare, this.usedTokens / capacityTokens);
    while (this.usedTokens > capacityTokens) {
      const newest = this.runs.findLast(({ heldTokens }) => heldTokens > 0);
      if (newest === undefined) {
        return;
      }
      counts.preemptions += 1;
      counts.wastedTokens += newest.promptTokens;
      newest.heldTokens = 0;
      newest.cancel();
      newest.onPreempted();
      this.prefillQueue = this.prefillQueue.filter(({ run }) => run !== newest);
      this.resumeLater(newest);
    }
  }

  private resumeLater(run: ActiveRun): void {
    run.cancel = this.options.timers.after(RETRY_MS, () => {
      if (this.usedTokens + run.promptTokens + run.outputTokens > this.options.capacityTokens) {
        this.resumeLater(run);
      } else {
        this.hold(run, run.promptTokens);
        this.queuePrefill(run);
      }
    });
  }

  private queuePrefill(run: ActiveRun): void {
    this.prefillQueue.push({ run });
    this.prefillNext();
  }

  private prefillNext(): void {
    const next = this.prefillQueue[0];
    if (this.isPrefilling || next === undefined) {
      return;
    }
    this.isPrefilling = true;
    const { timers, promptTokensPerMs } = this.options;
    timers.after((next.run.promptTokens / promptTokensPerMs) * this.pace, () => {
      this.isPrefilling = false;
      if (this.prefillQueue[0] === next) {
        this.prefillQueue.shift();
        next.run.onPrefilled();
        this.write(next.run, 0);
      }
      this.prefillNext();
    });
  }

  private write(run: ActiveRun, step: number): void {
    if (step === OUTPUT_STEPS) {
      this.remove(run);
      run.onEnded();
      return;
    }
    const tokens = run.outputTokens / OUTPUT_STEPS;
    const stepMs: Millis = tokens * this.options.msPerOutputToken * this.pace;
    run.cancel = this.options.timers.after(stepMs, () => this.write(run, step + 1));
    this.hold(run, tokens);
  }

  private remove(run: ActiveRun): void {
    const index = this.runs.indexOf(run);
    if (index >= 0) {
      this.runs.splice(index, 1);
      run.cancel();
      this.prefillQueue = this.prefillQueue.filter((queued) => queued.run !== run);
    }
  }
}
