/** Routing of generations: estimates the cost of targets for a request and chooses one. */
import { estimateLoad, type TrackedTarget } from '@limelead/track-targets';
import type { Millis, ObservedCandidate, Random, TargetId } from '@limelead/types';

/** Number of targets drawn at random, besides the one with most of the prompt cached. */
const DEFAULT_SAMPLE_SIZE = 2;
/** Maximum number of candidates that a choice reports. */
const MAX_OBSERVED_CANDIDATES = 4;
/** Load reports older than this add to the cost of their target. */
const REPORT_GRACE_MS = 1_000;
const DEFAULT_SLOTS = 8;
const DEFAULT_TOKEN_GAP_MS = 30;
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 2_000;
/** Round trip to another failure domain, in milliseconds. */
const OTHER_DOMAIN_COST_MS = 2;

/** Criteria for the target of a request. */
export interface RoutingCriteria {
  /** Hashes of the prompt's prefixes, shortest first. */
  prefixHashes: string[];
  /** Tokens to process before the first output token: prompt and forced prefix. */
  inputTokens: number;
  /** Failure domain of this VM. */
  failureDomain: string;
  exclude: TargetId[];
  /** Mean number of tokens in recent answers. */
  meanAnswerTokens: number;
  now: Millis;
}

/** The chosen target and the candidates considered. */
export interface RoutingChoice {
  target: TrackedTarget;
  considered: ObservedCandidate[];
}

/** Chooses a target; returns undefined if none is allowed. */
export type ChooseTarget = (
  targets: TrackedTarget[],
  criteria: RoutingCriteria,
  random: Random,
) => RoutingChoice | undefined;

/**
 * Creates a chooser that draws random targets, adds the one with most of the prompt cached, and
 * chooses the one with the least expected time to the first output token. The random draw keeps VMs
 * with the same outdated reports from all choosing the target that looks idle.
 */
export function createTargetChooser(sampleSize: number): ChooseTarget {
  return (targets, criteria, random) => {
    const allowed = targets.filter((target) => !criteria.exclude.includes(target.id));
    const ranked = drawCandidates(allowed, criteria, sampleSize, random)
      .map((target) => ({ target, ...estimateCost(target, criteria) }))
      .sort((a, b) => a.costMs - b.costMs);
    const best = ranked[0];
    if (best === undefined) {
      return undefined;
    }
    const considered = ranked
      .slice(0, MAX_OBSERVED_CANDIDATES)
      .map(({ target, costMs, cachedShare }) => ({ target: target.id, costMs, cachedShare }));
    return { target: best.target, considered };
  };
}

/** Chooser with the default sample size. */
const chooseTarget = createTargetChooser(DEFAULT_SAMPLE_SIZE);

export default chooseTarget;

/**
 * Expected time to the first output token, in milliseconds, and the share of the prompt in the
 * cache.
 */
export function estimateCost(
  target: TrackedTarget,
  criteria: RoutingCriteria,
): { costMs: number; cachedShare: number } {
  const cachedShare = estimateCachedShare(target, criteria.prefixHashes);
  const rate = target.report?.prefillTokensPerSecond ?? DEFAULT_PREFILL_TOKENS_PER_SECOND;
  const prefillMs =
    ((target.pendingPrefillTokens + criteria.inputTokens * (1 - cachedShare)) * 1000) / rate;
  const domainMs = target.failureDomain === criteria.failureDomain ? 0 : OTHER_DOMAIN_COST_MS;
  const costMs =
    estimateQueueMs(target, criteria.meanAnswerTokens) +
    prefillMs +
    domainMs +
    estimateStalenessMs(target, criteria.now);
  return { costMs, cachedShare };
}

/**
 * Expected time until a slot is free, plus the share of a step that the batch adds, in
 * milliseconds.
 */
export function estimateQueueMs(target: TrackedTarget, meanAnswerTokens: number): number {
  const slots = Math.max(1, target.report?.slots ?? DEFAULT_SLOTS);
  const gapMs = target.report?.tokenGapMs ?? DEFAULT_TOKEN_GAP_MS;
  const load = estimateLoad(target);
  const ahead = Math.max(0, load + 1 - slots);
  const waitMs = (ahead * meanAnswerTokens * gapMs) / slots;
  const batchMs = (gapMs * Math.min(load, slots)) / slots;
  return waitMs + batchMs;
}

/** Time by which the target's report is overdue; the target may be paused or disconnected. */
function estimateStalenessMs(target: TrackedTarget, now: Millis): number {
  if (target.report === undefined) {
    return 0;
  }
  return Math.max(0, now - target.reportAtMs - REPORT_GRACE_MS);
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
  criteria: RoutingCriteria,
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
  const cached = findBestCached(targets, criteria.prefixHashes);
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
