/** Pure routing decision: ranks the usable targets for a request and takes one. */
import { estimateLoad, type TrackedTarget } from '@limelead/track-targets';
import type { Millis, ObservedCandidate, Random, TargetId } from '@limelead/types';

/** Targets drawn at random, besides the one with most of the prompt cached. */
const DEFAULT_SAMPLE_SIZE = 2;
/** Candidates that are told to those who watch. */
const MAX_OBSERVED = 4;
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
 * Creates a router that draws some targets, adds the one with most of the
 * prompt cached, and takes the one with the least expected time to the next
 * token. Drawing keeps VMs with the same lagging reports from all taking the
 * target that last looked idle; what this VM sent since counts on top.
 */
export function createTargetChooser(sampleSize: number): ChooseTarget {
  return (targets, request, random) => {
    const allowed = targets.filter((target) => !request.exclude.includes(target.id));
    const ranked = drawCandidates(allowed, request, sampleSize, random)
      .map((target) => ({ target, ...estimateCost(target, request) }))
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
}

/** The router with the sample size that was measured to be best. */
const chooseTarget = createTargetChooser(DEFAULT_SAMPLE_SIZE);

export default chooseTarget;

/** Expected milliseconds until the first new token, and the share of the prompt in the cache. */
export function estimateCost(
  target: TrackedTarget,
  request: RoutingRequest,
): { costMs: number; cachedShare: number } {
  const cachedShare = estimateCachedShare(target, request.prefixHashes);
  const rate = target.report?.prefillTokensPerSecond ?? DEFAULT_PREFILL_TOKENS_PER_SECOND;
  const prefillMs =
    ((target.pendingPrefillTokens + request.inputTokens * (1 - cachedShare)) * 1000) / rate;
  const domainMs = target.failureDomain === request.failureDomain ? 0 : OTHER_DOMAIN_COST_MS;
  const costMs =
    estimateQueueMs(target, request.meanAnswerTokens) +
    prefillMs +
    domainMs +
    estimateDoubtMs(target, request.now);
  return { costMs, cachedShare };
}

/** Milliseconds until a slot is free, and the share of a step that the batch adds. */
export function estimateQueueMs(target: TrackedTarget, meanAnswerTokens: number): number {
  const slots = Math.max(1, target.report?.slots ?? DEFAULT_SLOTS);
  const gapMs = target.report?.tokenGapMs ?? DEFAULT_GAP_MS;
  const load = estimateLoad(target);
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

function drawCandidates(
  targets: TrackedTarget[],
  request: RoutingRequest,
  sampleSize: number,
  random: Random,
): TrackedTarget[] {
  const drawn = new Set<TrackedTarget>();
  const wanted = Math.min(sampleSize, targets.length);
  while (drawn.size < wanted) {
    const target = targets[Math.floor(random.next() * targets.length)];
    if (target !== undefined) {
      drawn.add(target);
    }
  }
  const cached = findBestCached(targets, request.prefixHashes);
  if (cached !== undefined) {
    drawn.add(cached);
  }
  return [...drawn];
}

function findBestCached(
  targets: TrackedTarget[],
  prefixHashes: string[],
): TrackedTarget | undefined {
  let best: TrackedTarget | undefined;
  let bestShare = 0;
  for (const target of targets) {
    const share = estimateCachedShare(target, prefixHashes);
    if (share > bestShare) {
      best = target;
      bestShare = share;
    }
  }
  return best;
}
