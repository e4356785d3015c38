/** Outcomes of the non-repeatable calls that this VM received. */
import { LimeleadError } from '@limelead/errors';
import type { PlainAnswer } from '@limelead/ports';
import type { Clock, Millis } from '@limelead/types';

/** Further calls are refused, because evicting a record early could run its call twice. */
const MAX_RECORDS = 20_000;
/** Limit on answer bodies retained for retries. Beyond it a call is recorded without its answer. */
const MAX_RETAINED_BYTES = 32 * 1024 * 1024;
const RETENTION_AFTER_DEADLINE_MS = 60_000;
const SWEEP_INTERVAL_MS = 10_000;

/** Recorded outcome of a call, also returned to VMs that receive a retry of it. */
export type RecordedOutcome =
  { kind: 'answered'; answer: PlainAnswer } | { kind: 'not-sent' } | { kind: 'unknown' };

interface CallRecord {
  notAfterMs: Millis;
  outcome: Promise<RecordedOutcome>;
  bytes: number;
}

/** Call outcomes of one incarnation of a VM. */
export default class CallOutcomeTable {
  private readonly records = new Map<string, CallRecord>();
  private retainedBytes = 0;
  private nextSweepMs: Millis = 0;

  constructor(private readonly clock: Clock) {}

  /** Returns the pending or known outcome of a call; undefined if this VM has no record of it. */
  find(call: string): Promise<RecordedOutcome> | undefined {
    return this.records.get(call)?.outcome;
  }

  /** Records a call before it is claimed. Throws a LimeleadError if the table is full. */
  add(call: string, notAfterMs: Millis, outcome: Promise<RecordedOutcome>): void {
    this.removeExpired();
    if (this.records.size >= MAX_RECORDS) {
      throw new LimeleadError(
        'overloaded',
        'too many non-repeatable calls are recorded on this VM',
      );
    }
    const record: CallRecord = { notAfterMs, outcome, bytes: 0 };
    this.records.set(call, record);
    void outcome.then((recorded) => this.recordAnswerSize(call, record, recorded));
  }

  /** Removes a call that was not sent, so that the caller can retry it here. */
  forget(call: string): void {
    this.records.delete(call);
  }

  private recordAnswerSize(call: string, record: CallRecord, recorded: RecordedOutcome): void {
    if (recorded.kind !== 'answered' || this.records.get(call) !== record) {
      return;
    }
    const bytes = recorded.answer.body.length;
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
