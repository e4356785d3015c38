/** What this VM knows of the calls that it was permitted to send. */
import { LimeleadError } from '@limelead/errors';
import type { PlainAnswer } from '@limelead/ports';
import type { Clock, Millis } from '@limelead/types';

/** Records kept at most; more are refused, because forgetting one early could run a call twice. */
const MAX_RECORDS = 20_000;
/** Bytes of answers kept for retries; beyond it answers are forgotten, but not that they ran. */
const MAX_RETAINED_BYTES = 32 * 1024 * 1024;
const RETENTION_AFTER_DEADLINE_MS = 60_000;
const SWEEP_INTERVAL_MS = 10_000;

/** What a retry through another VM is told. */
export type RecordedOutcome =
  { kind: 'answered'; answer: PlainAnswer } | { kind: 'not-sent' } | { kind: 'unknown' };

interface CallRecord {
  notAfterMs: Millis;
  outcome: Promise<RecordedOutcome>;
  bytes: number;
}

/** Records of one incarnation. */
export default class CallOutcomeTable {
  private readonly records = new Map<string, CallRecord>();
  private retainedBytes = 0;
  private nextSweepMs: Millis = 0;

  constructor(private readonly clock: Clock) {}

  /** The outcome of a call that this VM has taken on, once it is known. */
  find(call: string): Promise<RecordedOutcome> | undefined {
    return this.records.get(call)?.outcome;
  }

  /** Takes a call on. Throws where there is no room for another record. */
  add(call: string, notAfterMs: Millis, outcome: Promise<RecordedOutcome>): void {
    this.removeExpired();
    if (this.records.size >= MAX_RECORDS) {
      throw new LimeleadError('overloaded', 'too many calls that are not repeatable');
    }
    const record: CallRecord = { notAfterMs, outcome, bytes: 0 };
    this.records.set(call, record);
    void outcome.then((remembered) => this.recordAnswerSize(call, record, remembered));
  }

  /** Forgets a call that was never sent, so that the caller may try again here. */
  forget(call: string): void {
    this.records.delete(call);
  }

  private recordAnswerSize(call: string, record: CallRecord, remembered: RecordedOutcome): void {
    if (remembered.kind !== 'answered' || this.records.get(call) !== record) {
      return;
    }
    const bytes = remembered.answer.body.length;
    if (this.retainedBytes + bytes > MAX_RETAINED_BYTES) {
      record.outcome = Promise.resolve({ kind: 'unknown' });
      return;
    }
    record.bytes = bytes;
    this.retainedBytes += bytes;
  }

  private removeExpired(): void {
    const now = this.clock.now();
    if (now < this.nextSweepMs) {
      return;
    }
    this.nextSweepMs = now + SWEEP_INTERVAL_MS;
    for (const [call, record] of this.records) {
      if (now > record.notAfterMs + RETENTION_AFTER_DEADLINE_MS) {
        this.retainedBytes -= record.bytes;
        this.records.delete(call);
      }
    }
  }
}
