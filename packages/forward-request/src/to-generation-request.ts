/** Translates a streamed HTTP request to the request type of the session core. */
import type {
  AnswerBinding,
  GenerationRequest,
  RecoveryPolicy,
  ServingRoute,
} from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';

const MIN_SILENCE_MS = 240;
/** Share of the longest acceptable pause that silence detection may use. */
const MAX_SILENCE_SHARE_OF_PAUSE = 0.5;
/** Longest acceptable pause of a route that sets none. */
export const DEFAULT_MAX_PAUSE_MS = 800;
const SUSPICION_FACTOR = 6;

/** Placeholder for the model version, which HTTP targets do not expose. */
export const PLACEHOLDER_BINDING: AnswerBinding = {
  modelVersion: { model: '', adapter: '', version: '' },
  seed: 0,
};

/** Converts a request. The prompt stays opaque, and one piece counts as one token. */
export default function toGenerationRequest(admitted: AdmittedRequest): GenerationRequest {
  const { request, route, organisation, service, rank } = admitted;
  return {
    requestId: request.requestId,
    organisation: organisation ?? '',
    service,
    prompt: '',
    maxTokens: Number.MAX_SAFE_INTEGER,
    priority: {
      name: route.name,
      rank,
      deadlineMs: route.timeoutMs,
      recovery: toRecoveryPolicy(route),
      maxQueueMs: route.timeoutMs,
    },
    paceTokensPerSecond: 0,
    resumable: route.repeatable,
  };
}

/** Limits silence so that a run can resume at another target within the acceptable pause. */
function toRecoveryPolicy({ maxPauseMs = DEFAULT_MAX_PAUSE_MS }: ServingRoute): RecoveryPolicy {
  const maxSilenceMs = maxPauseMs * MAX_SILENCE_SHARE_OF_PAUSE;
  return {
    suspicionFactor: SUSPICION_FACTOR,
    minSilenceMs: Math.min(MIN_SILENCE_MS, maxSilenceMs),
    maxSilenceMs,
    hedge: false,
    probeFirst: false,
  };
}
