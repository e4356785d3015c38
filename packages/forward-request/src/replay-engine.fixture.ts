/** The steps of an engine: one batch for all runs, with chunks of prompts between them. */
import type { Millis, Timers } from '@limelead/types';

const STEP_MS = 4.84;
const STEPS_PER_PIECE = 6;
/** A chunk of 200 prompt tokens at 8 tokens per millisecond delays each step by this much. */
const CHUNK_MS = 25;
/** Chunks of a prompt of 8,000 tokens. */
const CHUNKS = 40;
const SLOW_FACTOR = 2.5;
const SLOW_MS = 500;
/** Time after which other VMs' prefills are known here. */
const REPORT_DELAY_MS = 60;

/** What happens to a target. */
export interface Trouble {
  isSlow?: boolean;
  /** Prompts of 8,000 tokens that are prefilled at the same time. */
  prompts?: number;
  isDark?: boolean;
}

export interface ReplayEngineOptions {
  timers: Timers;
  elapsed(): Millis;
  trouble: Trouble;
  /** Start of the slow time or of the crash. */
  troubleAtMs: Millis;
  untilMs: Millis;
  /** Called with the number of prompts in progress, as late as peers report it. */
  reportPrefill(reading: number): void;
}

/** Plays the steps of one engine. */
export default class ReplayEngine {
  /** Called with each piece of the batch. */
  readonly onPieces: (() => void)[] = [];
  private steps = 0;
  private chunksLeft = 0;
  private prompts = 0;

  constructor(private readonly options: ReplayEngineOptions) {}

  get isDark(): boolean {
    const { trouble, troubleAtMs, elapsed } = this.options;
    return trouble.isDark === true && elapsed() >= troubleAtMs;
  }

  start(): void {
    this.step();
  }

  startPrefill(prompts: number): void {
    const { timers, reportPrefill } = this.options;
    this.prompts = prompts;
    this.chunksLeft = CHUNKS;
    timers.after(REPORT_DELAY_MS, () => reportPrefill(prompts));
  }

  private step(): void {
    const { timers, elapsed, untilMs } = this.options;
    if (this.isDark || elapsed() > untilMs) {
      return;
    }
    timers.after(this.takeStepMs(), () => {
      this.steps += 1;
      if (!this.isDark && this.steps % STEPS_PER_PIECE === 0) {
        this.onPieces.forEach((onPiece) => onPiece());
      }
      this.step();
    });
  }

  private takeStepMs(): Millis {
    const { timers, reportPrefill, trouble, troubleAtMs, elapsed } = this.options;
    const chunkMs = this.chunksLeft > 0 ? CHUNK_MS * this.prompts : 0;
    if (this.chunksLeft > 0) {
      this.chunksLeft -= 1;
      if (this.chunksLeft === 0) {
        timers.after(REPORT_DELAY_MS, () => reportPrefill(0));
      }
    }
    const slowMs = elapsed() - troubleAtMs;
    const isSlow = trouble.isSlow === true && slowMs >= 0 && slowMs < SLOW_MS;
    return (STEP_MS + chunkMs) * (isSlow ? SLOW_FACTOR : 1);
  }
}
