/** Reads the kind and the answer of an error from a VM. */
import { Code, ConnectError } from '@connectrpc/connect';
import { isErrorKind, type ErrorKind, type Execution as ExecutionName } from '@limelead/errors';
import {
  ConflictDetailSchema,
  ErrorDetailSchema,
  Execution,
  type ConflictDetail,
} from '@limelead/schema';

/** What an error says. */
export interface ReadError {
  /** Undefined where no VM said it, as when a link broke. */
  kind: ErrorKind | undefined;
  message: string;
  execution: ExecutionName;
  mayRetry: boolean;
  retryAfterMs: number;
  conflict: ConflictDetail | undefined;
}

const EXECUTIONS: Readonly<Record<Execution, ExecutionName>> = {
  [Execution.UNSPECIFIED]: 'unknown',
  [Execution.NOT_RUN]: 'not-run',
  [Execution.UNKNOWN]: 'unknown',
  [Execution.RUN]: 'run',
};

/** Reads anything thrown by a call. A broken link says nothing of what was run. */
export default function readErrorDetail(thrown: unknown): ReadError {
  const error = ConnectError.from(thrown, Code.Unavailable);
  const detail = error.findDetails(ErrorDetailSchema)[0];
  const message = error.rawMessage;
  const conflict = error.findDetails(ConflictDetailSchema)[0];
  if (detail === undefined || !isErrorKind(detail.kind)) {
    return {
      kind: undefined,
      message,
      execution: 'unknown',
      mayRetry: false,
      retryAfterMs: 0,
      conflict,
    };
  }
  const { kind, mayRetry, retryAfterMs } = detail;
  const execution = EXECUTIONS[detail.execution];
  return { kind, message, execution, mayRetry, retryAfterMs, conflict };
}
