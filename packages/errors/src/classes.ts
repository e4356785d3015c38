/** Error classes. */
import { ERROR_ANSWERS, type ErrorAnswer, type ErrorKind } from './kinds.js';

/** Facts that override the table's answer for one error. */
export interface ErrorAnswerOverrides {
  execution?: ErrorAnswer['execution'];
  retryAfterMs?: number;
}

/** An error of the closed list, on its way to a caller or operator. */
export class LimeleadError extends Error {
  override readonly name: string = 'LimeleadError';

  constructor(
    readonly kind: ErrorKind,
    message: string,
    private readonly overrides: ErrorAnswerOverrides = {},
  ) {
    super(message);
  }

  /** What the caller is told. */
  get answer(): ErrorAnswer {
    const answer = ERROR_ANSWERS[this.kind];
    return {
      ...answer,
      execution: this.overrides.execution ?? answer.execution,
      retryAfterMs: this.overrides.retryAfterMs ?? answer.retryAfterMs,
    };
  }
}

/** A change that lost a race; carries what is there now. */
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

/** A settings or configuration text that does not hold; each fault names line and key. */
export class DecodeError extends Error {
  override readonly name = 'DecodeError';

  constructor(
    readonly file: string,
    readonly faults: DecodeFault[],
  ) {
    super(faults.map((fault) => describeFault(file, fault)).join('\n'));
  }
}

/** One fault in a text. */
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

/** Whether an outside system may have received a request that failed. */
export type RequestSent = 'no' | 'maybe';

/** Why a call to an outside system failed. */
export type PortFaultReason = 'unreachable' | 'timeout' | 'refused' | 'broken' | 'invalid' | 'gone';

/** A failed call to an outside system. */
export class PortFault extends Error {
  override readonly name = 'PortFault';

  constructor(
    readonly reason: PortFaultReason,
    /** 'no' only where it is certain that no byte of the request left. */
    readonly sent: RequestSent,
    message: string,
  ) {
    super(message);
  }
}

/** Message and the first frames. */
const MAX_DESCRIBED_LINES = 4;

/** What was thrown and where, for a line; the first frames say which part of the program it was. */
export function describeThrown(thrown: unknown): string {
  const text = thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown);
  return text.split('\n').slice(0, MAX_DESCRIBED_LINES).join(' | ');
}

/** Turns anything thrown into an error of the closed list. */
export function toLimeleadError(thrown: unknown): LimeleadError {
  if (thrown instanceof LimeleadError) {
    return thrown;
  }
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new LimeleadError('internal', message);
}
