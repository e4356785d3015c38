/** Implements the RPC service Generation. */
import { create } from '@bufbuild/protobuf';
import type { ConnectError, HandlerContext, ServiceImpl } from '@connectrpc/connect';
import type { AdmissionTicket } from '@limelead/admit-request';
import { findSpec } from '@limelead/configuration-state';
import { estimateQueueMs } from '@limelead/choose-target';
import { LimeleadError } from '@limelead/errors';
import Generation, { type GenerationStart } from '@limelead/run-generation';
import {
  CancelResponseSchema,
  GenerateResponseSchema,
  type Generation as GenerationSchema,
  type GenerateRequest,
  type GenerateResponse,
  type ResumeRequest,
} from '@limelead/schema';
import type { AnswerMessage, GenerationRequest, ModelVersion, Organisation } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import checkGenerateRequest from '../check-generate-request.js';
import type { GenerationDependencies } from '@limelead/run-generation';
import toRpcError from '../to-rpc-error.js';
import type { VmContext } from '../vm-context.js';

/** Creates the Generation service of one VM. */
export default function createGenerationService(
  context: VmContext,
  dependencies: GenerationDependencies,
  cancelOnPeers: (organisation: string, requestId: string) => Promise<boolean>,
): ServiceImpl<typeof GenerationSchema> {
  /** Streams an answer. Only one generator wraps it, because each layer adds cost per token. */
  async function* serve(
    prepare: () => PreparedGeneration,
    signal: AbortSignal,
  ): AsyncGenerator<GenerateResponse> {
    const cleanUps: (() => void)[] = [];
    try {
      refuseWhileDraining(context);
      const { organisation, request, start } = prepare();
      const ticket = admit(context, organisation, request, start.resume !== undefined);
      cleanUps.push(() => ticket.release());
      const generation = new Generation(dependencies, request, start);
      cleanUps.push(context.openGenerations.add(organisation.name, request.requestId, generation));
      signal.addEventListener('abort', () => generation.abandon(), { once: true });
      for await (const message of generation.messages()) {
        yield toResponse(context, request, message);
      }
    } catch (thrown) {
      throw toCountedRpcError(context, thrown);
    } finally {
      cleanUps.forEach((cleanUp) => cleanUp());
    }
  }

  return {
    generate: (message, rpc) => serve(() => prepareNew(context, message, rpc), rpc.signal),
    resume: (message, rpc) => serve(() => prepareResumed(context, message, rpc), rpc.signal),
    async cancel({ requestId }, rpc) {
      try {
        const { name } = context.authenticator.requireOrganisation(rpc.requestHeader);
        const cancelled =
          context.openGenerations.cancel(name, requestId) || (await cancelOnPeers(name, requestId));
        return create(CancelResponseSchema, { cancelled });
      } catch (thrown) {
        throw toRpcError(thrown);
      }
    },
  };
}

/** A validated request and the point at which its answer starts. */
interface PreparedGeneration {
  organisation: Organisation;
  request: GenerationRequest;
  start: GenerationStart;
}

function prepareNew(
  context: VmContext,
  message: GenerateRequest,
  rpc: HandlerContext,
): PreparedGeneration {
  const organisation = context.authenticator.requireOrganisation(rpc.requestHeader);
  const request = checkGenerateRequest(context, organisation, message);
  return { organisation, request, start: { tries: 0, delivered: [] } };
}

function prepareResumed(
  context: VmContext,
  { request: message, handle, tries, deliveredTokens: delivered }: ResumeRequest,
  rpc: HandlerContext,
): PreparedGeneration {
  const organisation = context.authenticator.requireOrganisation(rpc.requestHeader);
  if (message === undefined) {
    throw new LimeleadError('invalid-request', 'request: expected the original request');
  }
  const request = checkGenerateRequest(context, organisation, message);
  if (delivered.length > request.maxTokens) {
    throw new LimeleadError('invalid-request', 'delivered_tokens: more than max_tokens');
  }
  const verified = context.signer.verify(handle, request);
  if (E.isLeft(verified)) {
    throw verified.left;
  }
  context.metrics.count('limelead_answers_resumed_total');
  const resume = verified.right;
  return {
    organisation,
    request: { ...request, deadlineAtMs: resume.deadlineAtMs },
    start: { resume, tries, delivered },
  };
}

/** Counts a limelead error by its kind and converts anything thrown to an RPC error. */
export function toCountedRpcError({ metrics }: VmContext, thrown: unknown): ConnectError {
  if (thrown instanceof LimeleadError) {
    metrics.count('limelead_errors_total', 1, { kind: thrown.kind });
  }
  return toRpcError(thrown);
}

/** Throws `shutting-down` while this VM drains for a planned stop. */
export function refuseWhileDraining(context: VmContext): void {
  if (context.isDraining()) {
    throw new LimeleadError('shutting-down', 'this VM is shutting down; retry on another VM');
  }
}

function admit(
  context: VmContext,
  organisation: Organisation,
  request: GenerationRequest,
  isResumed: boolean,
): AdmissionTicket {
  const ticket = context.admission.admit(
    {
      organisation,
      rank: request.priority.rank,
      deadlineAtMs: request.deadlineAtMs,
      expectedWaitMs: estimateWaitMs(context, request),
      maxQueueMs: request.priority.maxQueueMs,
      isResumed,
    },
    context.clock.now(),
  );
  if (E.isRight(ticket)) {
    return ticket.right;
  }
  const { kind: errorKind } = ticket.left;
  context.bus.publish(request.requestId, () => ({
    kind: 'requestRefused',
    organisation: organisation.name,
    errorKind,
  }));
  throw ticket.left;
}

/** Estimates the wait at the usable target with the shortest queue; 0 if there is no target. */
function estimateWaitMs(context: VmContext, request: GenerationRequest): number {
  const { targets, clock, gaps } = context;
  const version = findCurrentVersion(context, request.service);
  const meanAnswerTokens = gaps.readMeanAnswerTokens();
  const waits = targets
    .listUsableEngines(clock.now(), version)
    .map((target) => estimateQueueMs(target, meanAnswerTokens));
  return waits.length === 0 ? 0 : Math.min(...waits);
}

/** Returns the model version that new answers of a service use. */
export function findCurrentVersion(context: VmContext, service: string): ModelVersion | undefined {
  return findSpec(context.configuration.configuration, 'service', service)?.model;
}

function toResponse(
  context: VmContext,
  request: GenerationRequest,
  message: AnswerMessage,
): GenerateResponse {
  switch (message.kind) {
    case 'started': {
      const { modelVersion, seed } = message.binding;
      const handle = context.signer.sign(request, message.resume);
      const { attempt } = message;
      const value = { ...modelVersion, handle, attempt, seed: BigInt(seed) };
      return create(GenerateResponseSchema, { event: { case: 'started', value } });
    }
    case 'tokens':
      return create(GenerateResponseSchema, { event: { case: 'tokens', value: message } });
    case 'finished':
      return create(GenerateResponseSchema, { event: { case: 'finished', value: message } });
    case 'handover':
      return create(GenerateResponseSchema, { event: { case: 'handover', value: {} } });
    case 'keep-alive':
      return create(GenerateResponseSchema, { event: { case: 'keepAlive', value: {} } });
  }
}
