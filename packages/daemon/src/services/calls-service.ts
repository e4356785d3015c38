/** Implements the RPC service Calls. */
import { create } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import { LimeleadError } from '@limelead/errors';
import type { CallRequest } from '@limelead/run-call';
import {
  CallResponseSchema,
  type CallRequest as CallRequestMessage,
  type CallResponse,
  type Calls,
} from '@limelead/schema';
import type { Organisation } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { checkRequestId, requirePriority, requireService } from '../check-generate-request.js';
import type { VmContext } from '../vm-context.js';
import { toCountedRpcError, refuseWhileDraining } from './generation-service.js';

/** Time within which a call must start if its caller sets no limit. */
const DEFAULT_START_WITHIN_MS = 120_000;
/** Longest time within which a call may start; claims are kept this long. */
const MAX_START_WITHIN_MS = 600_000;
const OPERATION = /^[\w.-]{1,64}$/;

/** Creates the Calls service of one VM. */
export default function createCallsService(context: VmContext): ServiceImpl<typeof Calls> {
  return {
    async call(message, rpc) {
      try {
        const organisation = context.authenticator.requireOrganisation(rpc.requestHeader);
        return await serveCall(context, organisation, message);
      } catch (thrown) {
        throw toCountedRpcError(context, thrown);
      }
    },
  };
}

async function serveCall(
  context: VmContext,
  organisation: Organisation,
  message: CallRequestMessage,
): Promise<CallResponse> {
  const request = checkCall(context, organisation, message);
  refuseWhileDraining(context);
  const priority = requirePriority(
    context,
    message.priority || requireService(context, request.service).defaultPriority,
  );
  const ticket = context.admission.admit(
    {
      organisation,
      rank: priority.rank,
      expectedWaitMs: 0,
      maxQueueMs: priority.maxQueueMs,
      isResumed: false,
    },
    context.clock.now(),
  );
  if (E.isLeft(ticket)) {
    throw ticket.left;
  }
  try {
    const call = context.callRunner.run(request);
    const createError = (): LimeleadError => createStopError(request);
    const { answer, replayed } = await context.openCalls.settle(call, createError);
    return create(CallResponseSchema, { status: answer.status, body: answer.body, replayed });
  } finally {
    ticket.right.release();
  }
}

/** Error of a call that is open when this VM stops. A target may have run it. */
function createStopError({ repeatable }: CallRequest): LimeleadError {
  return repeatable
    ? new LimeleadError('shutting-down', 'this VM stops', { execution: 'unknown' })
    : new LimeleadError('outcome-unknown', 'this VM stops, and the call may have been sent');
}

function checkCall(
  context: VmContext,
  organisation: Organisation,
  message: CallRequestMessage,
): CallRequest {
  checkRequestId(message.requestId);
  if (!OPERATION.test(message.operation)) {
    throw new LimeleadError('invalid-request', 'operation: expected 1 to 64 of [A-Za-z0-9_.-]');
  }
  const { maxCallBytes } = context.settings.limits;
  if (message.body.length > maxCallBytes) {
    throw new LimeleadError('too-large', `body: expected at most ${maxCallBytes} bytes`);
  }
  const service = requireService(context, message.service);
  if (service.plain === undefined) {
    throw new LimeleadError('invalid-request', `service: ${service.name} is not a plain service`);
  }
  return {
    organisation: organisation.name,
    requestId: message.requestId,
    service: service.name,
    operation: message.operation,
    body: message.body,
    repeatable: message.repeatable,
    notAfterMs: resolveNotAfterMs(Number(message.notAfterMs), context.clock.now()),
    timeoutMs: service.plain.timeoutMs,
  };
}

function resolveNotAfterMs(notAfterMs: number, now: number): number {
  if (notAfterMs === 0) {
    return now + DEFAULT_START_WITHIN_MS;
  }
  if (notAfterMs > now + MAX_START_WITHIN_MS) {
    const maxSeconds = MAX_START_WITHIN_MS / 1000;
    throw new LimeleadError(
      'invalid-request',
      `not_after_ms: expected at most ${maxSeconds} s from now`,
    );
  }
  return notAfterMs;
}
