/** A GET request with timeouts on silence, and a long one on its body. */
import { AnswerExcessError } from '@limelead/target-connections';
import type { Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { Client, Dispatcher } from 'undici';

/** Path and query of a GET request. */
export interface TextRequest {
  path: string;
  query: Record<string, string | number>;
}

/** Timeouts without received data, in milliseconds. */
export interface SilenceTimeouts {
  /** From the request to the response headers. */
  firstMs: Millis;
  /** From the headers to the first chunk, and between chunks. */
  silenceMs: Millis;
}

/** A response that was read completely. */
export interface TextResponse {
  status: number;
  text: string;
}

/**
 * Why a request failed: a silence timeout, an answer beyond a limit, or a connection that could not
 * be opened or broke.
 */
export type TextFault = 'silent' | 'too-long' | 'unreachable';

/** Longest time from the headers to the end of a response, in timeouts of silence. */
const MAX_BODY_SILENCES = 10;

/** Sends a GET request and reads the complete response. */
export default async function requestText(
  client: Client,
  { path, query }: TextRequest,
  { firstMs, silenceMs }: SilenceTimeouts,
): Promise<E.Either<TextFault, TextResponse>> {
  const timeout = new AbortController();
  const { signal } = timeout;
  let timer = setTimeout(() => timeout.abort(), firstMs);
  let bodyTimer: NodeJS.Timeout | undefined;
  const onData = (): void => {
    clearTimeout(timer);
    timer = setTimeout(() => timeout.abort(), silenceMs);
    bodyTimer ??= setTimeout(() => timeout.abort(), silenceMs * MAX_BODY_SILENCES);
  };
  try {
    const { statusCode, body } = await client.request({ method: 'GET', path, query, signal });
    return E.right({ status: statusCode, text: await readText(body, onData) });
  } catch (thrown) {
    const isTooLong = thrown instanceof AnswerExcessError;
    return E.left(isTooLong ? 'too-long' : signal.aborted ? 'silent' : 'unreachable');
  } finally {
    clearTimeout(timer);
    clearTimeout(bodyTimer);
  }
}

/** Reads a complete body. Calls `onData` once at the start and for each chunk. */
async function readText(
  body: Dispatcher.ResponseData['body'],
  onData: () => void,
): Promise<string> {
  onData();
  const chunks: Buffer[] = [];
  for await (const chunk of body) {
    onData();
    chunks.push(Buffer.from(chunk as Uint8Array));
  }
  return Buffer.concat(chunks).toString('utf8');
}
