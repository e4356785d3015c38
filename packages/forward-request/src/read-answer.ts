/** Reads what an answer says of its request, and passes on what it says of its target. */
import type { AnswerHead } from '@limelead/target-connections';
import type { Millis } from '@limelead/types';
import type { ForwardContext } from './context.js';
import type { AnswerFacts, TargetOrder } from './dialect.js';

/** Reads the head of an answer; `sentAtMs` is when its request was sent. */
export default function readAnswer(
  { backpressure, dialect, permits }: Pick<ForwardContext, 'backpressure' | 'dialect' | 'permits'>,
  { request, target }: Pick<TargetOrder, 'request' | 'target'>,
  head: AnswerHead,
  sentAtMs: Millis,
): AnswerFacts {
  const facts = dialect.readAnswer(request, head);
  if (facts.isForRequest && !facts.isOtherTarget) {
    const { directives } = facts;
    permits.onResponse(target.id, directives.limit, sentAtMs);
    backpressure.onResponse({
      target: target.id,
      requestId: request.requestId,
      sentAtMs,
      directives,
    });
  }
  return facts;
}
