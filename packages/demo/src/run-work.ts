/** Sends one request and records, at the caller's side, everything that came back. */
import { createClient, readErrorDetail, type AnswerEvent, type ErrorInfo } from '@limelead/client';
import type { Started } from '@limelead/schema';
import type { AnswerWork, CallWork } from './workload.js';

/** What the caller of an answer saw. */
export interface AnswerRecord {
  work: AnswerWork;
  /** Bindings in the order in which they were announced, with the tokens delivered before each. */
  started: { started: Started; deliveredBefore: number }[];
  tokens: { offset: number; token: string }[];
  /** Milliseconds without a token at each break that the caller could see. */
  resumeLatenciesMs: number[];
  finishedLength: number | undefined;
  error: ErrorInfo | undefined;
}

/** What the caller of a call saw. */
export interface CallRecord {
  work: CallWork;
  status: number | undefined;
  error: ErrorInfo | undefined;
}

/** Sends a request for an answer and reads it to its end. */
export async function runAnswer(
  work: AnswerWork,
  urls: string[],
  first: number,
  onToken: () => void,
): Promise<AnswerRecord> {
  const record: AnswerRecord = {
    work,
    started: [],
    tokens: [],
    resumeLatenciesMs: [],
    finishedLength: undefined,
    error: undefined,
  };
  const client = createClient({ urls, key: work.key, firstUrlIndex: first });
  const gaps = new GapMeter(record);
  try {
    for await (const event of client.generate(work)) {
      takeEvent(record, gaps, event);
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
export async function runCall(work: CallWork, urls: string[], first: number): Promise<CallRecord> {
  const client = createClient({ urls, key: work.key, firstUrlIndex: first });
  const { requestId, service, operation } = work;
  try {
    const { status } = await client.call({ requestId, service, operation, repeatable: false });
    return { work, status, error: undefined };
  } catch (thrown) {
    return { work, status: undefined, error: readErrorDetail(thrown) };
  } finally {
    await client.close();
  }
}

function takeEvent(record: AnswerRecord, gaps: GapMeter, event: AnswerEvent): void {
  switch (event.kind) {
    case 'started':
      record.started.push({ started: event.started, deliveredBefore: record.tokens.length });
      return gaps.noteMove();
    case 'moved':
      return gaps.noteMove();
    case 'tokens':
      event.tokens.forEach((token, index) =>
        record.tokens.push({ offset: event.offset + index, token }),
      );
      return gaps.noteTokens();
    case 'finished':
      record.finishedLength = event.finished.length;
  }
}

/** Measures the time without a token around each move of the answer. */
class GapMeter {
  private lastTokenAtMs: number | undefined;
  private hasMoved = false;

  constructor(private readonly record: AnswerRecord) {}

  noteMove(): void {
    this.hasMoved = true;
  }

  noteTokens(): void {
    const now = performance.now();
    if (this.hasMoved && this.lastTokenAtMs !== undefined) {
      this.record.resumeLatenciesMs.push(now - this.lastTokenAtMs);
    }
    this.hasMoved = false;
    this.lastTokenAtMs = now;
  }
}
