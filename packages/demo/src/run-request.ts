/** Sends one request and records, at the caller's side, everything that came back. */
import { createClient, readErrorDetail, type AnswerEvent, type ReadError } from '@limelead/client';
import type { Started } from '@limelead/schema';
import type { DemoAnswerRequest, DemoCallRequest } from './workload.js';

/** What the caller of an answer saw. */
export interface AnswerRecord {
  request: DemoAnswerRequest;
  /** Bindings in the order in which they were announced, with the tokens delivered before each. */
  bindings: { binding: Started; deliveredBefore: number }[];
  tokens: { offset: number; token: string }[];
  /** Milliseconds without a token at each break that the caller could see. */
  resumeLatenciesMs: number[];
  finishedLength: number | undefined;
  error: ReadError | undefined;
}

/** What the caller of a call saw. */
export interface CallRecord {
  request: DemoCallRequest;
  status: number | undefined;
  error: ReadError | undefined;
}

/** Sends a request for an answer and reads it to its end. */
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
  const client = createClient({ urls, key: request.key, first });
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

/** Sends a call that must not run twice. */
export async function runCall(
  request: DemoCallRequest,
  urls: string[],
  first: number,
): Promise<CallRecord> {
  const client = createClient({ urls, key: request.key, first });
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

/** Measures the time without a token around each move of the answer. */
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
