/** Usual time per piece of a service, and the gaps that its runs show beside a prefill. */
import type { Millis } from '@limelead/types';

/** Samples kept of each kind; a slow target contributes few of them. */
const MAX_SAMPLES = 101;
/** Samples below which nothing counts as usual. */
const MIN_SAMPLES = 5;
/** Quantile of the gaps beside a prefill that a run is allowed. */
const LONG_GAP_QUANTILE = 0.9;
const MEDIAN = 0.5;

/** Learns the usual times of one service; robust against the slow part of its targets. */
export default class ServicePace {
  private readonly pieceTimes = new LatestSamples();
  private readonly prefillGaps = new LatestSamples();

  /** Median time per piece without a prefill; 0 with too few samples. */
  get usualPieceMs(): Millis {
    return this.pieceTimes.quantile(MEDIAN);
  }

  /** Median gap beside a prefill; 0 with too few samples. */
  get usualPrefillGapMs(): Millis {
    return this.prefillGaps.quantile(MEDIAN);
  }

  /** Gap that nine in ten gaps beside a prefill do not exceed; 0 with too few samples. */
  get prefillGapMs(): Millis {
    return this.prefillGaps.quantile(LONG_GAP_QUANTILE);
  }

  /** Records the mean time per piece of one target for some time. */
  recordPieceTime(pieceMs: Millis): void {
    this.pieceTimes.record(pieceMs);
  }

  /** Records the gap of a run beside a prefill. */
  recordPrefillGap(gapMs: Millis): void {
    this.prefillGaps.record(gapMs);
  }
}

/** The latest samples, kept in order, since each piece and each check of a run reads a quantile. */
class LatestSamples {
  private readonly latest: Millis[] = [];
  private readonly sorted: Millis[] = [];

  record(sample: Millis): void {
    this.latest.push(sample);
    this.sorted.splice(findPosition(this.sorted, sample), 0, sample);
    const oldest = this.latest.length > MAX_SAMPLES ? this.latest.shift() : undefined;
    if (oldest !== undefined) {
      this.sorted.splice(findPosition(this.sorted, oldest), 1);
    }
  }

  quantile(quantile: number): Millis {
    const { sorted } = this;
    return sorted.length < MIN_SAMPLES
      ? 0
      : (sorted[Math.floor((sorted.length - 1) * quantile)] ?? 0);
  }
}

/** Index of the first sorted sample that is not lower. */
function findPosition(sorted: readonly Millis[], sample: Millis): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((sorted[middle] ?? 0) < sample) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
