/** A streamed HTTP request as the session core sees it. */
import type {
  AnswerBinding,
  GenerationRequest,
  RecoveryPolicy,
  ServingRoute,
} from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';

const MIN_SILENCE_MS = 240;
/** Part of the pause that callers bear which detection may take. */
const SILENCE_SHARE_OF_PAUSE = 0.5;
const DEFAULT_PAUSE_MS = 800;
const SUSPICION_FACTOR = 6;

/** The version is the targets' own business on this path; one name stands for it. */
export const OPAQUE_BINDING: AnswerBinding = {
  modelVersion: { model: '', adapter: '', version: '' },
  seed: 0,
};

/** Translates a request; its prompt stays opaque, and pieces stand for tokens. */
export default function toGeneration(admitted: AdmittedRequest): GenerationRequest {
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

/** Silence is noticed early enough to go on elsewhere within the pause that callers bear. */
function toRecoveryPolicy({ maxPauseMs = DEFAULT_PAUSE_MS }: ServingRoute): RecoveryPolicy {
  const maxSilenceMs = maxPauseMs * SILENCE_SHARE_OF_PAUSE;
  return {
    suspicionFactor: SUSPICION_FACTOR,
    minSilenceMs: Math.min(MIN_SILENCE_MS, maxSilenceMs),
    maxSilenceMs,
    hedge: false,
    probeFirst: false,
  };
}
