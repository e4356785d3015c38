/** Validates generation requests against the limits and the configuration. */
import { findSpec } from '@limelead/configuration-state';
import { LimeleadError } from '@limelead/errors';
import type { GenerateRequest } from '@limelead/schema';
import type { GenerationRequest, Organisation, Priority, Service } from '@limelead/types';
import type { VmContext } from './vm-context.js';

const MAX_PACE_TOKENS_PER_SECOND = 10_000;
const REQUEST_ID = /^[\w-]{1,64}$/;

/** Returns the request with its priority and deadline resolved; throws if it is invalid. */
export default function checkGenerateRequest(
  context: VmContext,
  organisation: Organisation,
  message: GenerateRequest,
): GenerationRequest {
  checkRequestId(message.requestId);
  const { limits } = context.settings;
  const { prompt, maxTokens, paceTokensPerSecond } = message;
  if (prompt.length === 0) {
    throw new LimeleadError('invalid-request', 'prompt: expected a non-empty text');
  }
  if (prompt.length > limits.maxPromptCharacters) {
    const limit = limits.maxPromptCharacters;
    throw new LimeleadError('too-large', `prompt: expected at most ${limit} characters`);
  }
  if (maxTokens < 1 || maxTokens > limits.maxTokens) {
    throw new LimeleadError('invalid-request', `max_tokens: expected 1 to ${limits.maxTokens}`);
  }
  if (!(paceTokensPerSecond >= 0 && paceTokensPerSecond <= MAX_PACE_TOKENS_PER_SECOND)) {
    throw new LimeleadError(
      'invalid-request',
      `pace_tokens_per_second: expected 0 to ${MAX_PACE_TOKENS_PER_SECOND}`,
    );
  }
  const service = requireService(context, message.service);
  if (service.model === undefined) {
    throw new LimeleadError('invalid-request', `service: ${service.name} is not a model service`);
  }
  const priority = requirePriority(context, message.priority || service.defaultPriority);
  const deadlineMs = message.deadlineMs || priority.deadlineMs;
  return {
    requestId: message.requestId,
    organisation: organisation.name,
    service: service.name,
    prompt,
    maxTokens,
    priority,
    deadlineAtMs: deadlineMs > 0 ? context.clock.now() + deadlineMs : undefined,
    paceTokensPerSecond,
    resumable: message.resumable,
  };
}

/** Throws `invalid-request` if a request id is malformed. */
export function checkRequestId(requestId: string): void {
  if (!REQUEST_ID.test(requestId)) {
    throw new LimeleadError('invalid-request', 'request_id: expected 1 to 64 of [A-Za-z0-9_-]');
  }
}

/** Finds a service by name; throws `not-found` if it does not exist. */
export function requireService(context: VmContext, name: string): Service {
  const service = findSpec(context.configuration.configuration, 'service', name);
  if (service === undefined) {
    throw new LimeleadError('not-found', `service: ${JSON.stringify(name)} does not exist`);
  }
  return service;
}

/** Finds a priority by name; throws `not-found` if it does not exist. */
export function requirePriority(context: VmContext, name: string): Priority {
  const priority = findSpec(context.configuration.configuration, 'priority', name);
  if (priority === undefined) {
    throw new LimeleadError('not-found', `priority: ${JSON.stringify(name)} does not exist`);
  }
  return priority;
}
