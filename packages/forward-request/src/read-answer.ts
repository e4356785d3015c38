/** Reads the head of an answer and applies the directives of its target. */
import { promisesNotRun } from '@limelead/errors';
import type { AnswerHead } from '@limelead/target-connections';
import type { Millis, ServiceTarget } from '@limelead/types';
import type { ForwardContext } from './context.js';
import type { AnswerInfo, AttemptRequest } from './dialect.js';

/** Head in place of one whose status makes a promise that the target did not give. */
export const MAY_HAVE_RUN: AnswerHead = { status: 502, rawHeaders: [], headers: new Map() };

/** Reads the head of an answer. `sentAtMs` is the time of the attempt. */
export default function readAnswer(
  { backpressure, dialect, permits }: Pick<ForwardContext, 'backpressure' | 'dialect' | 'permits'>,
  { request, target }: Pick<AttemptRequest, 'request' | 'target'>,
  head: AnswerHead,
  sentAtMs: Millis,
): AnswerInfo {
  const info = dialect.readAnswer(request, head, target);
  if (info.isForRequest && !info.isOtherTarget && target.isHelper !== true) {
    const { directives } = info;
    permits.onResponse(target.id, directives.limit, sentAtMs);
    backpressure.onResponse({
      target: target.id,
      requestId: request.requestId,
      sentAtMs,
      directives,
    });
  }
  return info;
}

/**
 * Returns the head for the caller of an answer that does not say that the target did not run the
 * request: `MAY_HAVE_RUN` if its status would say so. A VM that relays keeps its own promises.
 */
export function withoutFalsePromise(head: AnswerHead, target: ServiceTarget): AnswerHead {
  return target.isHelper !== true && promisesNotRun(head.status) ? MAY_HAVE_RUN : head;
}
