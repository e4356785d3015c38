/** HTTP adapter for plain services. */
import { PortFault } from '@limelead/errors';
import { PLAIN_SERVICE_PREFIX, REQUEST_ID_HEADER } from '@limelead/outside-protocol';
import type { PlainAnswer, PlainServiceTarget } from '@limelead/ports';
import * as E from 'fp-ts/lib/Either.js';
import type { Dispatcher } from 'undici';
import type { HttpTransport } from './http-transport.js';

const MAX_RESPONSE_BYTES = 1_048_576;
const NOT_EXECUTED_STATUS = 503;

/** Creates a client of the plain service at an address. */
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
      return E.isLeft(response) ? response : readResponse(response.right);
    },
  };
}

async function readResponse(
  response: Dispatcher.ResponseData,
): Promise<E.Either<PortFault, PlainAnswer>> {
  if (response.statusCode === NOT_EXECUTED_STATUS) {
    await response.body.dump();
    return E.left(new PortFault('refused', 'no', 'the service did not execute the request'));
  }
  try {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAX_RESPONSE_BYTES) {
        return E.left(new PortFault('invalid', 'maybe', 'the response is too large'));
      }
      chunks.push(chunk);
    }
    return E.right({ status: response.statusCode, body: Buffer.concat(chunks) });
  } catch (thrown) {
    return E.left(new PortFault('broken', 'maybe', String(thrown)));
  }
}
