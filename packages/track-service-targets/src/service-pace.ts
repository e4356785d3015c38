/** Usual time per piece of a service, and the gaps that its runs show beside a prefill. */
import type { Millis } from '@limelead/types';

/** Samples kept of each kind; a slow target contributes few of them. */
const MAX_SAMPLES = 101;
/** Samples below which nothing counts as usual. */
const MIN_SAMPLES = 5;
/** Quantile of the gaps beside a prefill that a run is allowed. */
const LONG_GAP_QUANTILE = 0.9;

/** Learns the usual times of one service; robust against the slow part of its targets. */
export default class ServicePace {
  private readonly pieceTimes: Millis[] = [];
  private readonly prefillGaps: Millis[] = [];
  private pieceMs: Millis = 0;

  /** Median time per piece without a prefill; 0 with too few samples. */
  get usualPieceMs(): Millis {
    return this.pieceMs;
  }

  /** Median gap beside a prefill; 0 with too few samples. */
  get usualPrefillGapMs(): Millis {
    return quantileOf(this.prefillGaps, 0.5);
  }

  /** Gap that nine in ten gaps beside a prefill do not exceed; 0 with too few samples. */
  get prefillGapMs(): Millis {
    return quantileOf(this.prefillGaps, LONG_GAP_QUANTILE);
  }

  /** Records the mean time per piece of one target for some time. */
  recordPieceTime(pieceMs: Millis): void {
    push(this.pieceTimes, pieceMs);
    this.pieceMs = quantileOf(this.pieceTimes, 0.5);
  }

  /** Records the gap of a run beside a prefill. */
  recordPrefillGap(gapMs: Millis): void {
    push(this.prefillGaps, gapMs);
  }
}

function push(samples: Millis[], sample: Millis): void {
  samples.push(sample);
  if (samples.length > MAX_SAMPLES) {
    samples.shift();
  }
}

function quantileOf(samples: readonly Millis[], quantile: number): Millis {
  if (samples.length < MIN_SAMPLES) {
    return 0;
  }
  const sorted = [...samples].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * quantile)] ?? 0;
}
