/**
 * Pure choice of a target for one request, and of the target that keeps a copy
 * of a run. Costs are compared first; among those of equal cost the one with
 * the highest hash over the caller's session and the target wins, so that all
 * VMs send a session to the target that already holds its prompt.
 */
import {
  isSuspected,
  readFailureRate,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import { hashText, mixHashes, type Millis } from '@limelead/types';

/*
 * Costs in units of one request under way at the target. Those below one decide
 * between targets of equal work; those of 40 and more between targets of any work,
 * in the order in which they grow.
 */

/**
 * Cost of bytes between failure domains: less than a request more at the target,
 * which costs its run a second on the users' engines, but more than `EQUAL_COST`.
 */
const OTHER_DOMAIN_COST = 0.75;
/**
 * Cost of a prompt that is being read there, beside that of its request: two that
 * are read together take each other's time, and hold up every run for that long.
 */
const READING_COST = 1;
/** Cost of a target of which every answer fails; at half of that it is worth six requests. */
const FAILURE_COST = 12;
/** Cost of a target whose failure domain is in doubt: any work elsewhere is better. */
const DOUBT_COST = 40;
/** Cost of a target that was just found lost: worse than any doubt. */
const SUSPICION_COST = 100;
/** Cost of a target that already failed this request: taken only where there is no other. */
const EXCLUDED_COST = 1_000;
/**
 * Failure rates (0 to 1) below this are taken as the service's own. The users'
 * portals fail a tenth of their calls on a plain day, and a moving share of few
 * answers is three times that now and then.
 */
const COMMON_FAILURE_RATE = 0.35;
/** Costs closer than this are taken as equal: half a request, so no whole one is ignored. */
const EQUAL_COST = 0.5;
/** Cost of one copy kept at a target: it takes memory as a run does, but no time. */
const COPY_COST = 0.5;

/** What a target is chosen for. */
export interface ServiceChoiceRequest {
  affinityKey: string;
  /** Failure domain of this VM. */
  failureDomain: string;
  /** Targets that already failed this request; taken only where there is no other. */
  exclude: ReadonlySet<string>;
  /** Requests of this VM that one target takes at once. */
  limit: (target: TrackedServiceTarget) => number;
  isDomainDoubtful: (failureDomain: string) => boolean;
  now: Millis;
}

/** Where a copy of a run may stand. */
export interface CopyChoiceRequest {
  affinityKey: string;
  /** The target that runs the request. */
  running: TrackedServiceTarget;
  isDomainDoubtful: (failureDomain: string) => boolean;
  now: Millis;
}

/** Takes a target, or none where all are full or none is there. */
export function chooseServiceTarget(
  targets: TrackedServiceTarget[],
  request: ServiceChoiceRequest,
): TrackedServiceTarget | undefined {
  const withPlace = targets.filter(
    (tracked) =>
      tracked.inFlight < request.limit(tracked) && tracked.evidence.fullUntilMs <= request.now,
  );
  const choice = { ...request, isDomainDoubtful: rememberByDomain(request.isDomainDoubtful) };
  return takeCheapest(withPlace, request.affinityKey, (tracked) => costOf(tracked, choice));
}

/** Takes the target that keeps a copy: in another failure domain wherever there is one. */
export function chooseCopyKeeper(
  targets: TrackedServiceTarget[],
  request: CopyChoiceRequest,
): TrackedServiceTarget | undefined {
  const { running, now } = request;
  const isDomainDoubtful = rememberByDomain(request.isDomainDoubtful);
  const others = targets.filter(({ target }) => target.id !== running.target.id);
  return takeCheapest(others, `copy ${request.affinityKey}`, ({ target, evidence, ...work }) => {
    const isSameDomain = target.failureDomain === running.target.failureDomain;
    return (
      (isSameDomain ? DOUBT_COST : 0) +
      (isSuspected(evidence, now) ? SUSPICION_COST : 0) +
      (isDomainDoubtful(target.failureDomain) ? DOUBT_COST : 0) +
      work.inFlight +
      work.peerRequests +
      work.copies * COPY_COST
    );
  });
}

/**
 * The targets at which a session most likely ran: in each failure domain those
 * that are chosen for it first where work is equal.
 * @param most number of targets at most, over all domains
 */
export function listLikelyTargets(
  targets: TrackedServiceTarget[],
  affinityKey: string,
  most: number,
): TrackedServiceTarget[] {
  if (targets.length <= most) {
    return targets;
  }
  const keyHash = hashText(affinityKey);
  const rank = (tracked: TrackedServiceTarget): number => mixHashes(keyHash, tracked.hash);
  const ranked = [...targets].sort((a, b) => rank(b) - rank(a));
  const domains = new Set(ranked.map(({ target }) => target.failureDomain));
  const mostOfDomain = Math.max(1, Math.floor(most / domains.size));
  const likely = [...domains].flatMap((domain) =>
    ranked.filter(({ target }) => target.failureDomain === domain).slice(0, mostOfDomain),
  );
  return likely.slice(0, most);
}

/** Many targets share a domain; each domain is asked about once. */
function rememberByDomain(isDoubtful: (failureDomain: string) => boolean) {
  const known = new Map<string, boolean>();
  return (failureDomain: string): boolean => {
    const answer = known.get(failureDomain) ?? isDoubtful(failureDomain);
    known.set(failureDomain, answer);
    return answer;
  };
}

function costOf(tracked: TrackedServiceTarget, request: ServiceChoiceRequest): number {
  const { target, evidence, inFlight, reading, peerRequests, peerReading } = tracked;
  const failureRate = readFailureRate(evidence, request.now);
  return (
    inFlight +
    peerRequests +
    (reading + peerReading) * READING_COST +
    (target.failureDomain === request.failureDomain ? 0 : OTHER_DOMAIN_COST) +
    (failureRate > COMMON_FAILURE_RATE ? failureRate * FAILURE_COST : 0) +
    (isSuspected(evidence, request.now) ? SUSPICION_COST : 0) +
    (request.isDomainDoubtful(target.failureDomain) ? DOUBT_COST : 0) +
    (request.exclude.has(target.id) ? EXCLUDED_COST : 0)
  );
}

function takeCheapest(
  targets: TrackedServiceTarget[],
  affinityKey: string,
  costOfTarget: (tracked: TrackedServiceTarget) => number,
): TrackedServiceTarget | undefined {
  const costs = targets.map((tracked) => ({ tracked, cost: costOfTarget(tracked) }));
  const least = Math.min(...costs.map(({ cost }) => cost));
  const equal = costs.filter(({ cost }) => cost < least + EQUAL_COST);
  return takeHighestHash(
    equal.map(({ tracked }) => tracked),
    affinityKey,
  );
}

function takeHighestHash(
  targets: TrackedServiceTarget[],
  affinityKey: string,
): TrackedServiceTarget | undefined {
  const keyHash = hashText(affinityKey);
  let best: TrackedServiceTarget | undefined;
  let bestHash = -1;
  for (const tracked of targets) {
    const hash = mixHashes(keyHash, tracked.hash);
    if (hash > bestHash) {
      best = tracked;
      bestHash = hash;
    }
  }
  return best;
}
