/** Memory that the run of a request needs at an engine. */
import type { HeldRun } from '@limelead/track-service-targets';
import type { Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';

/** Allowed pause of a route that configures none, in milliseconds. */
const DEFAULT_MAX_PAUSE_MS: Millis = 800;

/** The need of one run and the memory of the targets of its service. */
export interface RunMemory extends HeldRun {
  /** Memory of one target, in tokens. */
  capacityTokens: number;
  /** Steady time from which waiting for memory would miss the objective. */
  lastResortAtMs: Millis;
}

/** State of the request when its next target is chosen. */
export interface RunProgress {
  isFirstAttempt: boolean;
  /** True if the caller received a piece. */
  hasWritten: boolean;
}

type RunMemoryContext = Pick<
  ForwardContext,
  'clock' | 'directory' | 'placesByMemoryAndPace' | 'prefill' | 'readRouteTable'
>;

/**
 * Returns undefined if the request or the service states no size, or placement by memory is off, so
 * that only slots limit it.
 */
export default function describeRunMemory(
  context: RunMemoryContext,
  admitted: AdmittedRequest,
  progress: RunProgress,
): RunMemory | undefined {
  const { service, request } = admitted;
  const { requestId, promptTokens, maxOutputTokens = 0 } = request;
  const capacityTokens = context.readRouteTable()?.findService(service)?.engine?.memoryTokens ?? 0;
  const isUsed = context.placesByMemoryAndPace ?? true;
  if (!isUsed || capacityTokens <= 0 || promptTokens <= 0) {
    return undefined;
  }
  const { tokens } = context.directory;
  return {
    ...{ requestId, service, promptTokens, capacityTokens },
    tokens: promptTokens + tokens.expectedOutput(service, maxOutputTokens),
    isWhole: progress.isFirstAttempt && request.lastPiece === 0,
    lastResortAtMs: findLastResort(context, admitted, progress),
  };
}

/** The latest start that keeps the objective, or the allowed pause of a stream that has written. */
function findLastResort(
  { clock, prefill }: RunMemoryContext,
  admitted: AdmittedRequest,
  { hasWritten }: RunProgress,
): Millis {
  const { receivedAtMs, request, route } = admitted;
  const isResumed = hasWritten || request.lastPiece > 0;
  const limitMs = isResumed
    ? clock.now() + (route.maxPauseMs ?? DEFAULT_MAX_PAUSE_MS)
    : receivedAtMs + route.objectiveMs;
  return limitMs - prefill.minMs(admitted);
}
