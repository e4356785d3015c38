/** Pure routing decision: ranks the usable targets for a request and takes one. */
import { estimateLoad, type TrackedTarget } from '@limelead/track-targets';
import type { ObservedCandidate, Random, TargetId } from '@limelead/types';

/** Targets drawn at random; the cheapest of them is taken. */
const SAMPLE_SIZE = 2;
const DEFAULT_SLOTS = 8;
const DEFAULT_GAP_MS = 30;
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 2_000;
/** Milliseconds added for a target in another failure domain, there and back. */
const OTHER_DOMAIN_COST_MS = 2;
/** Tokens that a waiting generation is expected to produce before its slot is free. */
const EXPECTED_TOKENS_AHEAD = 64;

/** What a target is chosen for. */
export interface RoutingRequest {
  /** Hashes of the prompt's prefixes, shortest first. */
  prefixHashes: string[];
  /** Tokens to process before the first new one: prompt and forced prefix. */
  inputTokens: number;
  /** Failure domain of this VM. */
  failureDomain: string;
  exclude: TargetId[];
}

/** The target taken and what it was compared with. */
export interface RoutingChoice {
  target: TrackedTarget;
  considered: ObservedCandidate[];
}

/**
 * Draws two targets and adds the one with most of the prompt cached; takes the
 * cheapest. Drawing keeps several VMs with the same lagging reports from all
 * taking the target that last looked idle.
 */
export default function chooseTarget(
  targets: TrackedTarget[],
  request: RoutingRequest,
  random: Random,
): RoutingChoice | undefined {
  const allowed = targets.filter((target) => !request.exclude.includes(target.id));
  const candidates = drawCandidates(allowed, request, random);
  const ranked = candidates
    .map((target) => ({ target, ...estimateCost(target, request) }))
    .sort((a, b) => a.costMs - b.costMs);
  const best = ranked[0];
  if (best === undefined) {
    return undefined;
  }
  const considered = ranked.map(({ target, costMs, cachedShare }) => ({
    target: target.id,
    costMs,
    cachedShare,
  }));
  return { target: best.target, considered };
}

/** Expected milliseconds until the first new token, and the share of the prompt in the cache. */
export function estimateCost(
  target: TrackedTarget,
  request: RoutingRequest,
): { costMs: number; cachedShare: number } {
  const cachedShare = estimateCachedShare(target, request.prefixHashes);
  const rate = target.report?.prefillTokensPerSecond ?? DEFAULT_PREFILL_TOKENS_PER_SECOND;
  const prefillMs = (request.inputTokens * (1 - cachedShare) * 1000) / rate;
  const domainMs = target.failureDomain === request.failureDomain ? 0 : OTHER_DOMAIN_COST_MS;
  return { costMs: estimateQueueMs(target) + prefillMs + domainMs, cachedShare };
}

function estimateQueueMs(target: TrackedTarget): number {
  const slots = target.report?.slots ?? DEFAULT_SLOTS;
  const gapMs = target.report?.tokenGapMs ?? DEFAULT_GAP_MS;
  const load = estimateLoad(target);
  const ahead = Math.max(0, load + 1 - slots);
  const waitMs = (ahead * EXPECTED_TOKENS_AHEAD * gapMs) / slots;
  const batchMs = (gapMs * Math.min(load, slots)) / slots;
  return waitMs + batchMs;
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
  random: Random,
): TrackedTarget[] {
  const drawn = new Set<TrackedTarget>();
  const wanted = Math.min(SAMPLE_SIZE, targets.length);
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
