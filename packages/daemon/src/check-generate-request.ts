/** Checks a request for a generation against the limits and the configuration. */
import { findSpec } from '@limelead/configuration-state';
import { LimeleadError } from '@limelead/errors';
import type { GenerateRequest } from '@limelead/schema';
import type { GenerationRequest, Organisation, Priority, Service } from '@limelead/types';
import type { VmContext } from './vm-context.js';

const MAX_PACE_TOKENS_PER_SECOND = 10_000;
const REQUEST_ID = /^[\w-]{1,64}$/;

/** Gives the checked request. Throws where it does not hold. */
export default function checkGenerateRequest(
  context: VmContext,
  organisation: Organisation,
  message: GenerateRequest,
): GenerationRequest {
  checkRequestId(message.requestId);
  const { limits } = context.settings;
  const { prompt, maxTokens, paceTokensPerSecond } = message;
  if (prompt.length === 0) {
    throw new LimeleadError('invalid-request', 'prompt: expected a text that is not empty');
  }
  if (prompt.length > limits.maxPromptCharacters) {
    const most = limits.maxPromptCharacters;
    throw new LimeleadError('too-large', `prompt: expected at most ${most} characters`);
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

/** Throws where a request id does not hold. */
export function checkRequestId(requestId: string): void {
  if (!REQUEST_ID.test(requestId)) {
    throw new LimeleadError('invalid-request', 'request_id: expected 1 to 64 of [A-Za-z0-9_-]');
  }
}

/** Finds a service. Throws where there is none. */
export function requireService(context: VmContext, name: string): Service {
  const service = findSpec(context.configuration.configuration, 'service', name);
  if (service === undefined) {
    throw new LimeleadError('not-found', `service: there is no ${JSON.stringify(name)}`);
  }
  return service;
}

/** Finds a priority. Throws where there is none. */
export function requirePriority(context: VmContext, name: string): Priority {
  const priority = findSpec(context.configuration.configuration, 'priority', name);
  if (priority === undefined) {
    throw new LimeleadError('not-found', `priority: there is no ${JSON.stringify(name)}`);
  }
  return priority;
}
