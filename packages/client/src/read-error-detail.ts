/** Reads the details that VMs attach to errors. */
import { Code, ConnectError } from '@connectrpc/connect';
import { isErrorKind, type ErrorKind, type Execution as ExecutionName } from '@limelead/errors';
import {
  ConflictDetailSchema,
  ErrorDetailSchema,
  Execution,
  type ConflictDetail,
} from '@limelead/schema';

/** Details of a failed call. */
export interface ErrorInfo {
  /** Undefined if the error does not come from a VM, such as a broken connection. */
  kind: ErrorKind | undefined;
  message: string;
  execution: ExecutionName;
  mayRetry: boolean;
  retryAfterMs: number;
  conflict: ConflictDetail | undefined;
}

const EXECUTION_NAMES: Readonly<Record<Execution, ExecutionName>> = {
  [Execution.UNSPECIFIED]: 'unknown',
  [Execution.NOT_RUN]: 'not-run',
  [Execution.UNKNOWN]: 'unknown',
  [Execution.RUN]: 'run',
};

/** Reads an error thrown by a call. Without details from a VM, `execution` is 'unknown'. */
export default function readErrorDetail(thrown: unknown): ErrorInfo {
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
  const execution = EXECUTION_NAMES[detail.execution];
  return { kind, message, execution, mayRetry, retryAfterMs, conflict };
}
