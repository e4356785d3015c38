/** Calls plain services. Retries use the same request id, so they are safe through any VM. */
import { create } from '@bufbuild/protobuf';
import { createClient as createRpcClient } from '@connectrpc/connect';
import { CallRequestSchema, Calls, type CallRequest, type CallResponse } from '@limelead/schema';
import { delay } from '@limelead/types';
import type { ClientDependencies } from './generate-answer.js';
import readErrorDetail from './read-error-detail.js';

const RETRY_DELAY_MS = 100;
const DEFAULT_START_DEADLINE_MS = 60_000;
/** A VM that does not respond in time is considered lost. */
const RESPONSE_TIMEOUT_MS = 15_000;

/** A call to a plain service; `notAfterMs` defaults to one minute from now. */
export type ServiceCall = Pick<CallRequest, 'requestId' | 'service' | 'operation' | 'repeatable'> &
  Partial<Pick<CallRequest, 'body' | 'notAfterMs' | 'priority'>>;

/** Sends the call, with retries, until it is answered, can't be retried or has used its attempts. */
export default async function callService(
  dependencies: ClientDependencies,
  call: ServiceCall,
  now: number,
): Promise<CallResponse> {
  const { transports, headers, timers, maxAttempts } = dependencies;
  const notAfterMs = call.notAfterMs ?? BigInt(now + DEFAULT_START_DEADLINE_MS);
  const request = create(CallRequestSchema, { ...call, notAfterMs });
  for (let attempt = 1; ; attempt += 1) {
    try {
      return await createRpcClient(Calls, transports.getCurrent()).call(request, {
        headers,
        timeoutMs: RESPONSE_TIMEOUT_MS,
      });
    } catch (thrown) {
      const error = readErrorDetail(thrown);
      const canRetry = error.kind === undefined || error.mayRetry;
      if (!canRetry || attempt >= maxAttempts) {
        throw thrown;
      }
      transports.switchToNext();
      await delay(timers, Math.max(error.retryAfterMs, RETRY_DELAY_MS * attempt));
    }
  }
}
