/** Sends requests as a caller and records everything received. */
import { createClient, readErrorDetail, type AnswerEvent, type ErrorInfo } from '@limelead/client';
import type { Started } from '@limelead/schema';
import type { DemoAnswerRequest, DemoCallRequest } from './workload.js';

/** Everything that a caller received for an answer request. */
export interface AnswerRecord {
  request: DemoAnswerRequest;
  /** Bindings in the order received, each with the number of tokens delivered before it. */
  bindings: { binding: Started; deliveredBefore: number }[];
  tokens: { offset: number; token: string }[];
  /** Milliseconds without a token at each interruption that the caller could observe. */
  resumeLatenciesMs: number[];
  finishedLength: number | undefined;
  error: ErrorInfo | undefined;
}

/** Everything that a caller received for a call. */
export interface CallRecord {
  request: DemoCallRequest;
  status: number | undefined;
  error: ErrorInfo | undefined;
}

/** Sends a request for an answer and reads the answer until it ends or fails. */
export async function runAnswerRequest(
  request: DemoAnswerRequest,
  urls: string[],
  first: number,
  onToken: () => void,
): Promise<AnswerRecord> {
  const record: AnswerRecord = {
    request,
    bindings: [],
    tokens: [],
    resumeLatenciesMs: [],
    finishedLength: undefined,
    error: undefined,
  };
  const client = createClient({ urls, key: request.key, firstUrlIndex: first });
  const latencyMeter = new ResumeLatencyMeter(record);
  try {
    for await (const event of client.generate(request)) {
      recordEvent(record, latencyMeter, event);
      if (event.kind === 'tokens') {
        onToken();
      }
    }
  } catch (thrown) {
    record.error = readErrorDetail(thrown);
  } finally {
    await client.close();
  }
  return record;
}

/** Sends a non-repeatable call. */
export async function runCall(
  request: DemoCallRequest,
  urls: string[],
  first: number,
): Promise<CallRecord> {
  const client = createClient({ urls, key: request.key, firstUrlIndex: first });
  const { requestId, service, operation } = request;
  try {
    const { status } = await client.call({ requestId, service, operation, repeatable: false });
    return { request, status, error: undefined };
  } catch (thrown) {
    return { request, status: undefined, error: readErrorDetail(thrown) };
  } finally {
    await client.close();
  }
}

function recordEvent(
  record: AnswerRecord,
  latencyMeter: ResumeLatencyMeter,
  event: AnswerEvent,
): void {
  switch (event.kind) {
    case 'started':
      record.bindings.push({ binding: event.started, deliveredBefore: record.tokens.length });
      return latencyMeter.recordMove();
    case 'moved':
      return latencyMeter.recordMove();
    case 'tokens':
      event.tokens.forEach((token, index) =>
        record.tokens.push({ offset: event.offset + index, token }),
      );
      return latencyMeter.recordTokens();
    case 'finished':
      record.finishedLength = event.finished.length;
  }
}

/** Measures the time without a token around each move of the answer to another target or VM. */
class ResumeLatencyMeter {
  private lastTokenAtMs: number | undefined;
  private hasMoved = false;

  constructor(private readonly record: AnswerRecord) {}

  recordMove(): void {
    this.hasMoved = true;
  }

  recordTokens(): void {
    const now = performance.now();
    if (this.hasMoved && this.lastTokenAtMs !== undefined) {
      this.record.resumeLatenciesMs.push(now - this.lastTokenAtMs);
    }
    this.hasMoved = false;
    this.lastTokenAtMs = now;
  }
}
