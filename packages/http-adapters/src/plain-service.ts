/** The adapter to one plain service on one target. */
import { PortFault } from '@limelead/errors';
import { PLAIN_SERVICE_PREFIX, REQUEST_ID_HEADER } from '@limelead/outside-protocol';
import type { PlainAnswer, PlainServiceTarget } from '@limelead/ports';
import * as E from 'fp-ts/lib/Either.js';
import type { Dispatcher } from 'undici';
import type { HttpTransport } from './http-transport.js';

const MAX_ANSWER_BYTES = 1_048_576;
const NOT_ACTED_STATUS = 503;

/** Creates the adapter for a service at an address. */
export default function createHttpPlainService(
  transport: HttpTransport,
  host: string,
  port: number,
  service: string,
): PlainServiceTarget {
  return {
    call: (call) => async () => {
      const operation = encodeURIComponent(call.operation);
      const response = await transport.send({
        method: 'POST',
        host,
        port,
        path: `${PLAIN_SERVICE_PREFIX}/${service}/${operation}`,
        headers: {
          'content-type': 'application/octet-stream',
          [REQUEST_ID_HEADER]: call.requestId,
        },
        body: call.body,
        timeoutMs: call.timeoutMs,
        signal: AbortSignal.timeout(call.timeoutMs),
      })();
      return E.isLeft(response) ? response : readAnswer(response.right);
    },
  };
}

async function readAnswer(
  response: Dispatcher.ResponseData,
): Promise<E.Either<PortFault, PlainAnswer>> {
  if (response.statusCode === NOT_ACTED_STATUS) {
    await response.body.dump();
    return E.left(new PortFault('refused', 'no', 'the service says that it did not act'));
  }
  try {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAX_ANSWER_BYTES) {
        return E.left(new PortFault('invalid', 'maybe', 'the answer is too large'));
      }
      chunks.push(chunk);
    }
    return E.right({ status: response.statusCode, body: Buffer.concat(chunks) });
  } catch (thrown) {
    return E.left(new PortFault('broken', 'maybe', String(thrown)));
  }
}
