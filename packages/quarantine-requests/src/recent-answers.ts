/**
 * Requests that targets of this VM answered lately. One that fails for the first time is told from
 * one that ends each target that runs it.
 */
import type { Millis } from '@limelead/types';
import type { RunScope } from './crash-record.js';
import type { IdentifiedRequest } from './identify-request.js';

/** How long an answer is remembered, in milliseconds. */
const ANSWER_TTL_MS: Millis = 120_000;
/** Maximum number of requests; an entry takes about 0.7 KB. */
const MAX_ANSWERS = 2_000;
/** Bytes of the body that are compared at its start, middle and end. */
const SAMPLE_BYTES = 32;

/** Times of the last answers. */
export default class RecentAnswers {
  /** Least recently answered first. */
  private readonly answeredAtMs = new Map<string, Millis>();

  record(sample: string, scope: RunScope, now: Millis): void {
    const key = keyOf(sample, scope);
    this.answeredAtMs.delete(key);
    this.answeredAtMs.set(key, now);
    if (this.answeredAtMs.size > MAX_ANSWERS) {
      const [oldest = ''] = this.answeredAtMs.keys();
      this.answeredAtMs.delete(oldest);
    }
  }

  /** When the software last answered a request with that sample; undefined if unknown. */
  lastAnsweredAtMs(sample: string, scope: RunScope, now: Millis): Millis | undefined {
    const atMs = this.answeredAtMs.get(keyOf(sample, scope));
    return atMs !== undefined && now - atMs < ANSWER_TTL_MS ? atMs : undefined;
  }
}

/**
 * Returns parts of a request that hardly any other one shares. Cheaper than its identity, since it
 * is needed for each answer.
 */
export function sampleRequest(request: IdentifiedRequest): string {
  const { organisation = '', host, method, path, body } = request;
  const { length } = body;
  const middle = length >> 1;
  const bytes = [
    body.toString('latin1', 0, SAMPLE_BYTES),
    body.toString('latin1', middle, middle + SAMPLE_BYTES),
    body.toString('latin1', Math.max(0, length - SAMPLE_BYTES), length),
  ];
  return `${organisation} ${method} ${host} ${path} ${length} ${bytes.join(' ')}`;
}

function keyOf(sample: string, { service, version = '' }: RunScope): string {
  return `${service} ${version} ${sample}`;
}
