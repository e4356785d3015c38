/**
 * How long runs may read their prompts before they are given up. A run that was
 * given up while it read costs all that it read, so the bound follows what runs
 * of that service were seen to take, prompts of other runs beside them included.
 */
import type { Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';

/** Objectives that a run may read at least. */
const LEAST_OBJECTIVES = 1.3;
/** Objectives that a run may read at most; then its answer is taken to be lost. */
const MOST_OBJECTIVES = 3;
/** Times the expected time that a run may read. */
const PATIENCE = 2.5;
/** Weight of the newest observation. */
const GAIN = 0.1;

/** What of a request decides how long it reads. */
type Reading = Pick<AdmittedRequest, 'service'> & {
  request: Pick<AdmittedRequest['request'], 'promptTokens'>;
  route: Pick<AdmittedRequest['route'], 'objectiveMs'>;
};

/** Learns and bounds the time to the first piece. */
export default class ReadingTime {
  /** Service by service, milliseconds for one token of a prompt. */
  private readonly msPerToken = new Map<string, number>();

  /** A run that read its prompt sent its first piece that long after it was sent. */
  note({ service, request }: Reading, tookMs: Millis): void {
    if (request.promptTokens === 0) {
      return;
    }
    const seen = tookMs / request.promptTokens;
    const known = this.msPerToken.get(service) ?? seen;
    this.msPerToken.set(service, known + GAIN * (seen - known));
  }

  /** Time without a first piece after which a run is given up, in milliseconds. */
  boundMs({ service, request, route }: Reading): Millis {
    const expectedMs = (this.msPerToken.get(service) ?? 0) * request.promptTokens;
    const leastMs = route.objectiveMs * LEAST_OBJECTIVES;
    const mostMs = route.objectiveMs * MOST_OBJECTIVES;
    return Math.min(Math.max(expectedMs * PATIENCE, leastMs), mostMs);
  }
}
