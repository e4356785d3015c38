/** Translates a streamed HTTP request to the request type of the session core. */
import type {
  AnswerBinding,
  GenerationRequest,
  Millis,
  RecoveryPolicy,
  ServingRoute,
} from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';

/** Highest lower limit: routes that allow long pauses gain nothing from earlier probes. */
const MIN_SILENCE_MS = 240;
/** The same as a share of the longest acceptable pause. */
const MIN_SILENCE_SHARE_OF_PAUSE = 0.2;
/**
 * Share of the longest acceptable pause after which the target is probed at the latest. With the
 * probe, detection takes about half of the pause.
 */
const MAX_SILENCE_SHARE_OF_PAUSE = 1 / 3;
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

/** Longest pause that a route allows in a stream. */
export function maxPauseOf({ maxPauseMs = DEFAULT_MAX_PAUSE_MS }: ServingRoute): Millis {
  return maxPauseMs;
}

/** Limits silence so that a run can resume at another target within the acceptable pause. */
function toRecoveryPolicy(route: ServingRoute): RecoveryPolicy {
  const maxPauseMs = maxPauseOf(route);
  return {
    suspicionFactor: SUSPICION_FACTOR,
    minSilenceMs: Math.min(MIN_SILENCE_MS, maxPauseMs * MIN_SILENCE_SHARE_OF_PAUSE),
    maxSilenceMs: maxPauseMs * MAX_SILENCE_SHARE_OF_PAUSE,
    // A silent run stays beside the next attempt until that is accepted.
    hedge: true,
    probeFirst: false,
  };
}
