/** The caller's side of an answer. */
import type { LimeleadError } from '@limelead/errors';
import type { AnswerHead } from '@limelead/target-connections';

/** Receives one answer. After `end`, `abort` or `refuse` it ignores further calls. */
export interface AnswerSink {
  /** Starts the answer. `length` is the length of the whole body, if known. */
  begin(status: number, rawHeaders: string[], length?: number): void;
  write(bytes: Buffer): void;
  /** Completes the answer. */
  end(): void;
  /** Breaks off an answer that has started, so that the caller does not take it as complete. */
  abort(error: LimeleadError): void;
  /** Sends an error in place of an answer that has not started. */
  refuse(error: LimeleadError): void;
  /** Bytes that waited for the caller before the last write; those that the kernel took are left out. */
  readonly waitingBytes: number;
  /** Registers a callback that runs whenever the caller has taken bytes. */
  onFlushed(callback: () => void): void;
  /**
   * Counts bytes of the answer that are in memory and not written yet, negative when they are
   * released. The sink gives up the answer if too many bytes are in memory.
   */
  addHeldBytes(bytes: number): void;
  /**
   * Registers a callback that runs once if the caller disconnects before the answer ends, or
   * if the sink gives up the answer.
   */
  onCallerLeft(callback: () => void): void;
  /**
   * Registers a callback that runs once if this VM shuts down before the answer ends. The callback
   * ends the answer; without one the sink refuses the request as not run.
   */
  onShutdown(callback: () => void): void;
}

/** A complete answer of a target. */
export interface WholeAnswer {
  head: AnswerHead;
  body: Buffer;
}

/** Hop-by-hop headers, in lower case. */
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

/** Headers of a target's answer for the caller, without the length: the sink frames the body. */
export function filterAnswerHeaders(rawHeaders: string[]): string[] {
  return filterEndToEndHeaders(rawHeaders, LENGTH_HEADER);
}

export function writeWholeAnswer(sink: AnswerSink, { head, body }: WholeAnswer): void {
  sink.begin(head.status, filterAnswerHeaders(head.rawHeaders), body.length);
  if (body.length > 0) {
    sink.write(body);
  }
  sink.end();
}

/**
 * Removes hop-by-hop headers, those named by a Connection header, and the given ones.
 * `rawHeaders` and the result alternate names and values.
 */
export function filterEndToEndHeaders(
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
