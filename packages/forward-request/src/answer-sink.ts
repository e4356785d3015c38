/** Where an answer goes: the caller's side of one request. */
import type { LimeleadError } from '@limelead/errors';
import type { AnswerHead } from '@limelead/target-connections';

/** Takes one answer. After `end`, `abort` or `refuse` nothing is taken any more. */
export interface AnswerSink {
  /** Begins the answer. `length` is that of the whole body where it is known. */
  begin(status: number, rawHeaders: string[], length?: number): void;
  write(bytes: Buffer): void;
  /** The answer is whole. */
  end(): void;
  /** The answer can't be finished; it must not look whole. */
  abort(error: LimeleadError): void;
  /** No answer has begun; the caller is told why there will be none. */
  refuse(error: LimeleadError): void;
  /** Calls back once where the caller leaves before the end of the answer. */
  onGone(callback: () => void): void;
}

/** An answer of a target that is whole. */
export interface WholeAnswer {
  head: AnswerHead;
  body: Buffer;
}

/** Headers that concern only one connection, in lower case. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const LENGTH_HEADER: ReadonlySet<string> = new Set(['content-length']);

/** Headers of a target's answer that pass through; the sink frames the body itself. */
export function keepAnswerHeaders(rawHeaders: string[]): string[] {
  return keepEndToEnd(rawHeaders, LENGTH_HEADER);
}

/** Gives the caller an answer that is whole. */
export function passWholeAnswer(sink: AnswerSink, { head, body }: WholeAnswer): void {
  sink.begin(head.status, keepAnswerHeaders(head.rawHeaders), body.length);
  if (body.length > 0) {
    sink.write(body);
  }
  sink.end();
}

/**
 * Headers that pass through, names and values by turns: all but those of one
 * connection, those that a Connection header names, and the given ones.
 */
export function keepEndToEnd(
  rawHeaders: string[],
  without: ReadonlySet<string> = new Set(),
): string[] {
  const named = readConnectionOptions(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (!CONNECTION_HEADERS.has(lower) && !named.has(lower) && !without.has(lower)) {
      kept.push(name, rawHeaders[index + 1] ?? '');
    }
  }
  return kept;
}

function readConnectionOptions(rawHeaders: string[]): Set<string> {
  const options = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if ((rawHeaders[index] ?? '').toLowerCase() === 'connection') {
      const values = (rawHeaders[index + 1] ?? '').split(',');
      values.forEach((value) => options.add(value.trim().toLowerCase()));
    }
  }
  return options;
}
