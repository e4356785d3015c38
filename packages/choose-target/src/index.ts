/** Pure routing decision: ranks the usable targets for a request and takes one. */
import { estimateLoad, type TrackedTarget } from '@limelead/track-targets';
import type { Millis, ObservedCandidate, Random, TargetId } from '@limelead/types';

/** Targets looked at; of more, so many are drawn at random. */
const MAX_CONSIDERED = 64;
/** Candidates that are told to those who watch. */
const MAX_OBSERVED = 4;
/** Part of the cost that is random, so that VMs with the same view do not all choose alike. */
const JITTER = 0.1;
/** A target whose report is older than this does not answer its polls. */
const REPORT_EXPECTED_MS = 1_000;
const DEFAULT_SLOTS = 8;
const DEFAULT_GAP_MS = 30;
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 2_000;
/** Milliseconds added for a target in another failure domain, there and back. */
const OTHER_DOMAIN_COST_MS = 2;

/** What a target is chosen for. */
export interface RoutingRequest {
  /** Hashes of the prompt's prefixes, shortest first. */
  prefixHashes: string[];
  /** Tokens to process before the first new one: prompt and forced prefix. */
  inputTokens: number;
  /** Failure domain of this VM. */
  failureDomain: string;
  exclude: TargetId[];
  /** VMs that route to the same targets, this one included. */
  vmCount: number;
  /** Tokens that an answer has on average, as this VM saw lately. */
  meanAnswerTokens: number;
  now: Millis;
}

/** The target taken and what it was compared with. */
export interface RoutingChoice {
  target: TrackedTarget;
  considered: ObservedCandidate[];
}

/** Takes one of the targets, or none where none is allowed. */
export type ChooseTarget = (
  targets: TrackedTarget[],
  request: RoutingRequest,
  random: Random,
) => RoutingChoice | undefined;

/**
 * Takes the target with the least expected time to the next token. The cost
 * counts what was sent since the lagging report, by this VM and, as a guess,
 * as much by each other, and a little chance; so VMs with the same reports
 * spread instead of all taking the target that last looked idle.
 */
const chooseTarget: ChooseTarget = (targets, request, random) => {
  const allowed = targets.filter((target) => !request.exclude.includes(target.id));
  const ranked = drawConsidered(allowed, random)
    .map((target) => {
      const { costMs, cachedShare } = estimateCost(target, request);
      return { target, cachedShare, costMs: (costMs + 1) * (1 + JITTER * random.next()) };
    })
    .sort((a, b) => a.costMs - b.costMs);
  const best = ranked[0];
  if (best === undefined) {
    return undefined;
  }
  const considered = ranked
    .slice(0, MAX_OBSERVED)
    .map(({ target, costMs, cachedShare }) => ({ target: target.id, costMs, cachedShare }));
  return { target: best.target, considered };
};

export default chooseTarget;

/** Expected milliseconds until the first new token, and the share of the prompt in the cache. */
export function estimateCost(
  target: TrackedTarget,
  request: RoutingRequest,
): { costMs: number; cachedShare: number } {
  const cachedShare = estimateCachedShare(target, request.prefixHashes);
  const rate = target.report?.prefillTokensPerSecond ?? DEFAULT_PREFILL_TOKENS_PER_SECOND;
  const ahead = target.prefillPending * request.vmCount;
  const prefillMs = ((ahead + request.inputTokens * (1 - cachedShare)) * 1000) / rate;
  const domainMs = target.failureDomain === request.failureDomain ? 0 : OTHER_DOMAIN_COST_MS;
  const costMs =
    estimateQueueMs(target, request) + prefillMs + domainMs + estimateDoubtMs(target, request.now);
  return { costMs, cachedShare };
}

/** Milliseconds until a slot is free, and the share of a step that the batch adds. */
export function estimateQueueMs(
  target: TrackedTarget,
  { vmCount, meanAnswerTokens }: Pick<RoutingRequest, 'vmCount' | 'meanAnswerTokens'>,
): number {
  const slots = Math.max(1, target.report?.slots ?? DEFAULT_SLOTS);
  const gapMs = target.report?.tokenGapMs ?? DEFAULT_GAP_MS;
  const load = estimateLoad(target, vmCount);
  const ahead = Math.max(0, load + 1 - slots);
  const waitMs = (ahead * meanAnswerTokens * gapMs) / slots;
  const batchMs = (gapMs * Math.min(load, slots)) / slots;
  return waitMs + batchMs;
}

/** A target that lately did not answer its polls may be paused or cut off. */
function estimateDoubtMs(target: TrackedTarget, now: Millis): number {
  if (target.report === undefined) {
    return 0;
  }
  return Math.max(0, now - target.reportAtMs - REPORT_EXPECTED_MS);
}

function estimateCachedShare(target: TrackedTarget, prefixHashes: string[]): number {
  if (prefixHashes.length === 0) {
    return 0;
  }
  const longest = prefixHashes.findLastIndex((hash) => target.prefixes.has(hash));
  return (longest + 1) / prefixHashes.length;
}

function drawConsidered(targets: TrackedTarget[], random: Random): TrackedTarget[] {
  if (targets.length <= MAX_CONSIDERED) {
    return targets;
  }
  const start = Math.floor(random.next() * targets.length);
  return Array.from(
    { length: MAX_CONSIDERED },
    (_, index) => targets[(start + index * 7) % targets.length],
  ).filter((target) => target !== undefined);
}
