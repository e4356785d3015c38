/** Ends of targets that quarantined requests explain, so that bystanders are not blamed for them. */
import type { Millis } from '@limelead/types';
import type { RequestIdentity } from './identify-request.js';

/** How long an explanation is kept, in milliseconds. Longer than evidence on an end may take. */
const EXPLANATION_TTL_MS: Millis = 60_000;

/** The ends, by incarnation. */
export default class ExplainedEnds {
  /** Oldest first. */
  private readonly explanations = new Map<string, { request: RequestIdentity; atMs: Millis }>();

  /** Records what ended a target; returns false if an explanation is known. */
  record(target: string, request: RequestIdentity, now: Millis): boolean {
    for (const [explained, { atMs }] of this.explanations) {
      if (now - atMs < EXPLANATION_TTL_MS) {
        break;
      }
      this.explanations.delete(explained);
    }
    if (this.explanations.has(target)) {
      return false;
    }
    this.explanations.set(target, { request, atMs: now });
    return true;
  }

  /** Whether another request than this one ended the target. */
  isByAnother(target: string, request: RequestIdentity): boolean {
    const explanation = this.explanations.get(target);
    return explanation !== undefined && explanation.request !== request;
  }
}
