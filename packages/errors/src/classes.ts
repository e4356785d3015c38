/** Error classes and conversions of thrown values. */
import { ERROR_ANSWERS, type ErrorAnswer, type ErrorKind } from './kinds.js';

/** Values that override the default answer of an error's kind. */
export interface ErrorAnswerOverrides {
  execution?: ErrorAnswer['execution'];
  retryAfterMs?: number;
}

/** An error that is reported to a caller or operator. */
export class LimeleadError extends Error {
  override readonly name: string = 'LimeleadError';

  constructor(
    readonly kind: ErrorKind,
    message: string,
    private readonly overrides: ErrorAnswerOverrides = {},
  ) {
    super(message);
  }

  /** The answer to the caller. */
  get answer(): ErrorAnswer {
    const answer = ERROR_ANSWERS[this.kind];
    return {
      ...answer,
      execution: this.overrides.execution ?? answer.execution,
      retryAfterMs: this.overrides.retryAfterMs ?? answer.retryAfterMs,
    };
  }
}

/** A conflict with a concurrent change; contains the current state. */
export class ConflictError<Current> extends LimeleadError {
  override readonly name = 'ConflictError';

  constructor(
    message: string,
    readonly revision: number,
    readonly current: Current[],
  ) {
    super('conflict', message);
  }
}

/** An invalid settings or configuration text; the message lists line and key of each fault. */
export class DecodeError extends Error {
  override readonly name = 'DecodeError';

  constructor(
    readonly file: string,
    readonly faults: DecodeFault[],
  ) {
    super(faults.map((fault) => describeFault(file, fault)).join('\n'));
  }
}

/** A fault in a text. */
export interface DecodeFault {
  /** Counted from 1. */
  line: number;
  /** Path of keys, such as "peers.0.host"; empty for the whole document. */
  key: string;
  expected: string;
  found: string;
}

function describeFault(file: string, fault: DecodeFault): string {
  const key = fault.key === '' ? 'document' : fault.key;
  return `${file}:${fault.line}: ${key}: expected ${fault.expected}, found ${fault.found}`;
}

/** Whether the external system may have received the failed request. */
export type RequestSent = 'no' | 'maybe';

/** Why a call to an external system failed. */
export type PortFaultReason = 'unreachable' | 'timeout' | 'refused' | 'broken' | 'invalid' | 'gone';

/** A failed call to an external system. */
export class PortFault extends Error {
  override readonly name = 'PortFault';

  constructor(
    readonly reason: PortFaultReason,
    /** 'no' only if certainly no byte of the request was sent. */
    readonly sent: RequestSent,
    message: string,
    /** Whether the address refused the connection, so that no process listens there. */
    readonly isRefused = false,
  ) {
    super(message);
  }
}

/** The message and the first stack frames. */
const MAX_DESCRIBED_LINES = 4;

/** Describes a thrown value in a single log line, with the first stack frames of an error. */
export function describeThrown(thrown: unknown): string {
  const text = thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown);
  return text.split('\n').slice(0, MAX_DESCRIBED_LINES).join(' | ');
}

/** Converts a thrown value; anything but a `LimeleadError` becomes one of kind "internal". */
export function toLimeleadError(thrown: unknown): LimeleadError {
  if (thrown instanceof LimeleadError) {
    return thrown;
  }
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new LimeleadError('internal', message);
}
