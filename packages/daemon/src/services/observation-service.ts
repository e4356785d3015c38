/** Implements the RPC service Observation. */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import {
  WatchResponseSchema,
  type ObservedEventSchema,
  type Observation,
  type WatchResponse,
} from '@limelead/schema';
import type { EventDetail, ObservedEvent } from '@limelead/types';
import toRpcError from '../to-rpc-error.js';
import type { VmContext } from '../vm-context.js';

type DetailInit = NonNullable<MessageInitShape<typeof ObservedEventSchema>['detail']>;

/** Creates the Observation service of one VM. */
export default function createObservationService(
  context: VmContext,
): ServiceImpl<typeof Observation> {
  return {
    async *watch({ requestId }, rpc): AsyncGenerator<WatchResponse> {
      try {
        context.authenticator.requireOperator(rpc.requestHeader);
      } catch (thrown) {
        throw toRpcError(thrown);
      }
      const reader = context.bus.subscribe();
      rpc.signal.addEventListener('abort', () => reader.close(), { once: true });
      try {
        for (let batch = await reader.next(); batch !== undefined; batch = await reader.next()) {
          if (batch.droppedCount > 0) {
            yield create(WatchResponseSchema, {
              event: { case: 'lost', value: batch.droppedCount },
            });
          }
          for (const event of batch.events) {
            if (requestId === '' || event.requestId === requestId) {
              yield toWatchResponse(event);
            }
          }
        }
      } finally {
        reader.close();
      }
    },
  };
}

function toWatchResponse(event: ObservedEvent): WatchResponse {
  const { atMs, vm, requestId } = event;
  const value = { atMs: BigInt(atMs), vm, requestId, detail: toDetail(event.detail) };
  return create(WatchResponseSchema, { event: { case: 'observed', value } });
}

function toDetail(detail: EventDetail): DetailInit {
  switch (detail.kind) {
    case 'configurationAdvanced':
      return { case: detail.kind, value: { ...detail, revision: BigInt(detail.revision) } };
    case 'leaseChanged':
      return { case: detail.kind, value: { ...detail, epoch: BigInt(detail.epoch) } };
    case 'orderGiven':
      return { case: detail.kind, value: { ...detail, fence: BigInt(detail.fence) } };
    case 'streamContinued': {
      const resumeLatencyMs = Math.round(detail.resumeLatencyMs);
      return { case: detail.kind, value: { ...detail, resumeLatencyMs } };
    }
    default:
      return { case: detail.kind, value: detail } as DetailInit;
  }
}
