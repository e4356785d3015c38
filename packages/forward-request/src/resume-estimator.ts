/** Expected time from a resumed send to its first piece, by service. */
import {
  INITIAL_GAP_ESTIMATE,
  updateGapEstimate,
  type GapEstimate,
} from '@limelead/suspect-silence';
import type { Millis } from '@limelead/types';

/** Mean deviations beyond the mean within which most resumed runs send. */
const DEVIATIONS = 2;

/** Learns the time to the first piece of runs that resume from a replica. */
export default class ResumeEstimator {
  private readonly estimates = new Map<string, GapEstimate>();

  record(service: string, tookMs: Millis): void {
    this.estimates.set(service, updateGapEstimate(this.of(service), tookMs));
  }

  /** Time within which most resumed runs send; 180 ms before the first. */
  expectedMs(service: string): Millis {
    const { meanMs, deviationMs } = this.of(service);
    return meanMs + DEVIATIONS * deviationMs;
  }

  private of(service: string): GapEstimate {
    return this.estimates.get(service) ?? INITIAL_GAP_ESTIMATE;
  }
}
