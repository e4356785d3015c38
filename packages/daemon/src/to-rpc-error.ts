/** Converts limelead errors to RPC errors with error details. */
import { Code, ConnectError } from '@connectrpc/connect';
import {
  ConflictError,
  toLimeleadError,
  type Execution as ExecutionName,
  type RpcCode,
} from '@limelead/errors';
import { ConflictDetailSchema, ErrorDetailSchema, Execution } from '@limelead/schema';
import type { VersionedResource } from '@limelead/types';
import { toVersionedMessage } from './convert-resources.js';

const CODES: Readonly<Record<RpcCode, Code>> = {
  invalid_argument: Code.InvalidArgument,
  unauthenticated: Code.Unauthenticated,
  permission_denied: Code.PermissionDenied,
  not_found: Code.NotFound,
  aborted: Code.Aborted,
  resource_exhausted: Code.ResourceExhausted,
  deadline_exceeded: Code.DeadlineExceeded,
  unavailable: Code.Unavailable,
  data_loss: Code.DataLoss,
  canceled: Code.Canceled,
  failed_precondition: Code.FailedPrecondition,
  unknown: Code.Unknown,
  internal: Code.Internal,
};

const EXECUTIONS: Readonly<Record<ExecutionName, Execution>> = {
  'not-run': Execution.NOT_RUN,
  unknown: Execution.UNKNOWN,
  run: Execution.RUN,
};

/** Converts anything thrown to an RPC error. */
export default function toRpcError(thrown: unknown): ConnectError {
  if (thrown instanceof ConnectError) {
    return thrown;
  }
  const error = toLimeleadError(thrown);
  const { rpcCode, execution, mayRetry, retryAfterMs } = error.answer;
  const detail = {
    desc: ErrorDetailSchema,
    value: { kind: error.kind, execution: EXECUTIONS[execution], mayRetry, retryAfterMs },
  };
  const rpcError = new ConnectError(error.message, CODES[rpcCode], undefined, [detail]);
  if (error instanceof ConflictError) {
    rpcError.details.push({
      desc: ConflictDetailSchema,
      value: describeConflict(error as ConflictError<VersionedResource>),
    });
  }
  return rpcError;
}

function describeConflict(error: ConflictError<VersionedResource>) {
  return { revision: BigInt(error.revision), current: error.current.map(toVersionedMessage) };
}
