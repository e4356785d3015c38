/** One call whose answer may take its time as long as it goes on coming. */
import type { Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { Client, Dispatcher } from 'undici';

/** What is asked. */
export interface TextRequest {
  path: string;
  query: Record<string, string | number>;
}

/** How long an answer may be silent. */
export interface SilenceTimeouts {
  /** Before anything of it came, in milliseconds. */
  firstMs: Millis;
  /** Between two parts of it, in milliseconds. */
  silenceMs: Millis;
}

/** An answer that is whole. */
export interface TextResponse {
  status: number;
  text: string;
}

/** Why there is none: nothing came in time, or the connection did not come up or broke. */
export type TextFault = 'silent' | 'unreachable';

/** Sends a GET and reads its answer whole. */
export default async function requestText(
  client: Client,
  { path, query }: TextRequest,
  { firstMs, silenceMs }: SilenceTimeouts,
): Promise<E.Either<TextFault, TextResponse>> {
  const silence = new AbortController();
  const { signal } = silence;
  let timer = setTimeout(() => silence.abort(), firstMs);
  const onHeard = (): void => {
    clearTimeout(timer);
    timer = setTimeout(() => silence.abort(), silenceMs);
  };
  try {
    const { statusCode, body } = await client.request({ method: 'GET', path, query, signal });
    return E.right({ status: statusCode, text: await readText(body, onHeard) });
  } catch {
    return E.left(signal.aborted ? 'silent' : 'unreachable');
  } finally {
    clearTimeout(timer);
  }
}

/** Reads a body whole; `onHeard` is called with its head and with each part of it. */
async function readText(
  body: Dispatcher.ResponseData['body'],
  onHeard: () => void,
): Promise<string> {
  onHeard();
  const parts: Buffer[] = [];
  for await (const part of body) {
    onHeard();
    parts.push(Buffer.from(part as Uint8Array));
  }
  return Buffer.concat(parts).toString('utf8');
}
