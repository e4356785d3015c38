/**
 * Estimates the time from the start of a run to its first piece (prefill). Giving up a
 * run during prefill wastes the work done, so the limit follows the observed times.
 */
import type { Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';

/** Lower limit of the prefill timeout, in objectives of the route. */
const MIN_BOUND_OBJECTIVES = 1.3;
/** Upper limit of the prefill timeout, in objectives of the route. */
const MAX_BOUND_OBJECTIVES = 3;
/** Ratio of the prefill timeout to the expected time. */
const BOUND_FACTOR = 2.5;
/**
 * Ratio of the shortest to the expected time, which includes the prompts of concurrent runs. A
 * prompt that was read alone took 0.8 of the expected time.
 */
const MIN_TIME_FACTOR = 0.7;
/** Weight of the latest observation in the moving average. */
const SMOOTHING = 0.1;

/** Fields of a request that determine its prefill time. */
type PrefillRequest = Pick<AdmittedRequest, 'service'> & {
  request: Pick<AdmittedRequest['request'], 'promptTokens'>;
  route: Pick<AdmittedRequest['route'], 'objectiveMs'>;
};

/** Learns the prefill time per service and derives its limits. */
export default class PrefillEstimator {
  /** Milliseconds per prompt token, by service. */
  private readonly msPerToken = new Map<string, number>();

  /** Records the time from the attempt to the first piece of a run that read its whole prompt. */
  record({ service, request }: PrefillRequest, tookMs: Millis): void {
    if (request.promptTokens === 0) {
      return;
    }
    const observed = tookMs / request.promptTokens;
    const known = this.msPerToken.get(service) ?? observed;
    this.msPerToken.set(service, known + SMOOTHING * (observed - known));
  }

  /** Shortest expected prefill time in milliseconds; 0 without observations. */
  minMs(prefill: PrefillRequest): Millis {
    return this.expectedMs(prefill) * MIN_TIME_FACTOR;
  }

  /** Time in milliseconds after which a run without a first piece is given up. */
  maxMs(prefill: PrefillRequest): Millis {
    const { route } = prefill;
    const minMs = route.objectiveMs * MIN_BOUND_OBJECTIVES;
    const maxMs = route.objectiveMs * MAX_BOUND_OBJECTIVES;
    return Math.min(Math.max(this.expectedMs(prefill) * BOUND_FACTOR, minMs), maxMs);
  }

  private expectedMs({ service, request }: PrefillRequest): Millis {
    return (this.msPerToken.get(service) ?? 0) * request.promptTokens;
  }
}
