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
/**
 * Part of the expected time that a prompt takes at least. The mean of runs has the prompts
 * of others between; a prompt that is read alone took 0.8 of it.
 */
const LEAST_SHARE = 0.7;
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

  /** Least time in which the prompt may be read, in milliseconds; 0 while nothing is known. */
  leastMs(reading: Reading): Millis {
    return this.expectedMs(reading) * LEAST_SHARE;
  }

  /** Time without a first piece after which a run is given up, in milliseconds. */
  boundMs(reading: Reading): Millis {
    const { route } = reading;
    const leastMs = route.objectiveMs * LEAST_OBJECTIVES;
    const mostMs = route.objectiveMs * MOST_OBJECTIVES;
    return Math.min(Math.max(this.expectedMs(reading) * PATIENCE, leastMs), mostMs);
  }

  private expectedMs({ service, request }: Reading): Millis {
    return (this.msPerToken.get(service) ?? 0) * request.promptTokens;
  }
}
