/**
 * Tokens of memory that runs and replicas hold at each engine. A run counts from its start with its
 * prompt and its expected output, since an engine that becomes full preempts a run and reads its
 * prompt again.
 */
import type { Clock, Millis } from '@limelead/types';

/** Age up to which a report of a target corrects the count, in milliseconds. */
const REPORT_TTL_MS: Millis = 1_000;
/**
 * Added where requests wait for room, in tokens: more than any memory, and finite, so that such
 * targets are still ordered by what they hold.
 */
export const WAITING_TOKENS = 1e9;
/** Weight of the latest run in the means of its service. */
const SMOOTHING = 0.1;
/** Fewer pieces say too little about the tokens of a piece. */
const MIN_PIECES = 5;

/** Memory that one run needs at a target. */
export interface HeldRun {
  requestId: string;
  service: string;
  promptTokens: number;
  /** Prompt and expected output. */
  tokens: number;
  /** True if the run makes its answer from the first piece on. */
  isWhole: boolean;
}

/** Memory of a target as it reports it; some hundred milliseconds old. */
export interface ReportedMemory {
  /** Tokens that can't be evicted. */
  usedTokens: number;
  runs: readonly { requestId: string; tokens: number; pieces: number }[];
}

/** Tokens of other VMs at a target. */
export interface PeerTokens {
  tokens: number;
  /** Requests and replicas of VMs that report no tokens. */
  uncounted: number;
}

interface Correction {
  /** Tokens beyond the count. */
  extraTokens: number;
  hasWaiting: boolean;
  atMs: Millis;
}

/** Counts the tokens that are held at the targets of one VM's directory. */
export default class HeldTokens {
  private readonly runs = new Map<string, Set<HeldRun>>();
  private readonly corrections = new Map<string, Correction>();
  private readonly meanRunTokens = new Map<string, number>();
  private readonly meanPromptTokens = new Map<string, number>();
  private readonly meanOutputPieces = new Map<string, number>();
  private readonly tokensPerPiece = new Map<string, number>();

  /** @param readPeerTokens tokens that other VMs hold at a target */
  constructor(
    private readonly clock: Clock,
    private readonly readPeerTokens: (target: string) => PeerTokens,
  ) {}

  /** Counts a run or a replica of this VM; returns a function that ends it. */
  hold(target: string, run: HeldRun): () => void {
    const runs = this.runs.get(target) ?? new Set();
    this.runs.set(target, runs.add(run));
    return () => {
      if (runs.delete(run) && runs.size === 0 && this.runs.get(target) === runs) {
        this.runs.delete(target);
      }
    };
  }

  /** Tokens that runs and replicas of this VM hold at a target. */
  ownAt(target: string): number {
    return sumTokens(this.runs.get(target));
  }

  /**
   * Tokens that runs and replicas of all VMs hold at a target; beyond any memory if requests wait
   * there.
   */
  at(target: string, service: string): number {
    const counted = this.countAt(target, service);
    const correction = this.corrections.get(target);
    if (correction === undefined || this.clock.now() - correction.atMs > REPORT_TTL_MS) {
      return counted;
    }
    return counted + correction.extraTokens + (correction.hasWaiting ? WAITING_TOKENS : 0);
  }

  /** Records the tokens that a new run of the service needs, for the mean. */
  recordRunTokens(service: string, tokens: number): void {
    smooth(this.meanRunTokens, service, tokens);
  }

  /**
   * Whole usual prompts of the service by which a prompt is longer than a usual one; 0 for prompts
   * of less than two usual lengths, so that the usual spread has no effect. Records the prompt.
   */
  recordPrompt(service: string, promptTokens: number): number {
    const usual = this.meanPromptTokens.get(service) ?? promptTokens;
    smooth(this.meanPromptTokens, service, promptTokens);
    return usual > 0 ? Math.max(0, Math.floor(promptTokens / usual) - 1) : 0;
  }

  /** Tokens of a usual run of the service; 0 before the first. */
  usualRunTokens(service: string): number {
    return this.meanRunTokens.get(service) ?? 0;
  }

  /** Records the length of a complete answer. */
  recordOutput(service: string, pieces: number): void {
    smooth(this.meanOutputPieces, service, pieces);
  }

  /**
   * Expected output of a run in tokens: the mean of the service, at most what the request states.
   * @param maxTokens what the request states, which is used until both means are known
   */
  expectedOutput(service: string, maxTokens: number): number {
    const pieces = this.meanOutputPieces.get(service);
    const tokensPerPiece = this.tokensPerPiece.get(service);
    return pieces === undefined || tokensPerPiece === undefined
      ? maxTokens
      : Math.min(maxTokens, Math.ceil(pieces * tokensPerPiece));
  }

  /**
   * Corrects the count by a report of the target. It only raises the count, which includes runs
   * that started after the report and output that is still to come.
   * @param waiting requests that wait at the target for a slot or for memory
   */
  recordReport(target: string, service: string, memory: ReportedMemory, waiting: number): void {
    const extraTokens = Math.max(0, memory.usedTokens - this.countAt(target, service));
    const hasWaiting = waiting > 0;
    this.corrections.set(target, { extraTokens, hasWaiting, atMs: this.clock.now() });
    this.learnTokensPerPiece(target, memory);
  }

  /** Drops the report of a removed target. */
  forget(target: string): void {
    this.corrections.delete(target);
  }

  /** Tokens that runs and replicas of all VMs hold at a target, without the correction by reports. */
  countAt(target: string, service: string): number {
    const { tokens, uncounted } = this.readPeerTokens(target);
    return this.ownAt(target) + tokens + uncounted * this.usualRunTokens(service);
  }

  private learnTokensPerPiece(target: string, { runs }: ReportedMemory): void {
    const reported = new Map(runs.map((run) => [run.requestId, run]));
    for (const { requestId, service, promptTokens, isWhole } of this.runs.get(target) ?? []) {
      const { tokens, pieces } = reported.get(requestId) ?? { tokens: 0, pieces: 0 };
      if (isWhole && pieces >= MIN_PIECES && tokens > promptTokens) {
        smooth(this.tokensPerPiece, service, (tokens - promptTokens) / pieces);
      }
    }
  }
}

function sumTokens(runs: Iterable<HeldRun> = []): number {
  let sum = 0;
  for (const { tokens } of runs) {
    sum += tokens;
  }
  return sum;
}

function smooth(means: Map<string, number>, key: string, value: number): void {
  const known = means.get(key) ?? value;
  means.set(key, known + SMOOTHING * (value - known));
}
