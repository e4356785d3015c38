/** Calls a plain service; a retry carries the same id, so that it is safe through any VM. */
import { create } from '@bufbuild/protobuf';
import { createClient as createRpcClient } from '@connectrpc/connect';
import { CallRequestSchema, Calls, type CallRequest, type CallResponse } from '@limelead/schema';
import { delay } from '@limelead/types';
import type { AnswerDependencies } from './generate-answer.js';
import readErrorDetail from './read-error.js';

const RETRY_DELAY_MS = 100;
const START_WITHIN_MS = 60_000;
/** A VM that does not answer within this time is taken for lost. */
const ANSWER_TIMEOUT_MS = 15_000;

/** A call; `notAfterMs` takes one minute from now. */
export type ServiceCall = Pick<CallRequest, 'requestId' | 'service' | 'operation' | 'repeatable'> &
  Partial<Pick<CallRequest, 'body' | 'notAfterMs' | 'priority'>>;

/** Sends the call until it is answered or its fate is known to be final. */
export default async function callService(
  dependencies: AnswerDependencies,
  call: ServiceCall,
  now: number,
): Promise<CallResponse> {
  const { transports, headers, timers, maxTries } = dependencies;
  const notAfterMs = call.notAfterMs ?? BigInt(now + START_WITHIN_MS);
  const request = create(CallRequestSchema, { ...call, notAfterMs });
  for (let tries = 1; ; tries += 1) {
    try {
      return await createRpcClient(Calls, transports.get()).call(request, {
        headers,
        timeoutMs: ANSWER_TIMEOUT_MS,
      });
    } catch (thrown) {
      const error = readErrorDetail(thrown);
      const mayGoOn = error.kind === undefined || error.mayRetry;
      if (!mayGoOn || tries >= maxTries) {
        throw thrown;
      }
      transports.moveOn();
      await delay(timers, Math.max(error.retryAfterMs, RETRY_DELAY_MS * tries));
    }
  }
}
