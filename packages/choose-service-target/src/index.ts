/**
 * Pure choice of a target for one request, and of the target that keeps a copy
 * of a run. Expected delays are compared first; among those of equal delay the one with
 * the highest hash over the caller's session and the target wins, so that all
 * VMs send a session to the target that already holds its prompt.
 */
import type { Locality } from '@limelead/locality';
import {
  isSuspected,
  getFailureRate,
  getSlowness,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import { hashText, mixHashes, type Millis } from '@limelead/types';

/*
 * Costs are delays in milliseconds that a run is expected to suffer. Those up to one
 * request's decide between targets of equal work; the larger ones are no forecasts,
 * but stand above any work that a target can have, in the order in which they grow.
 */

/**
 * Delay by one request under way at the target: the prompt of the next one beside
 * it is read in a second on the users' engines, and holds up every run for that long.
 */
const REQUEST_MS = 1_000;
/**
 * Delay by a prompt that is being read there, beside that of its request: two that
 * are read together take each other's time.
 */
const READING_MS = 1_000;
/**
 * Delay by a run that takes twice the usual time: the users' runs last four to five
 * times as long as their prompts are read.
 */
const SLOW_RUN_MS = 4_500;
/** Delay by a target of which every answer fails; at half of that it is worth six requests. */
const FAILURE_MS = 12_000;
/** Delay by a target whose failure domain is in doubt: any work elsewhere is better. */
const DOUBT_MS = 40_000;
/** Delay by a target that was just found lost: worse than any doubt. */
const SUSPICION_MS = 100_000;
/** Delay by a target that already failed this request: taken only where there is no other. */
const EXCLUDED_MS = 1_000_000;
/**
 * Failure rates (0 to 1) below this are taken as the service's own. The users'
 * portals fail a tenth of their calls on a plain day, and a moving share of few
 * answers is three times that now and then.
 */
const COMMON_FAILURE_RATE = 0.35;
/** Delays closer than this are taken as equal: half a request, so no whole one is ignored. */
const EQUAL_MS = 500;
/** Delay by one copy kept at a target: it takes memory as a run does, but no time. */
const COPY_MS = 500;

/**
 * A failure domain that lost targets this lately keeps no new copies, in milliseconds:
 * targets that come back there are told as lost or new only one by one.
 */
export const KEEPER_DOUBT_MS = 2_500;

/** What a target is chosen for. */
export interface ServiceChoiceRequest {
  affinityKey: string;
  /** Failure domain of the VM that serves the caller. */
  failureDomain: string;
  locality: Pick<Locality, 'readPriceMs'>;
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
  targets: readonly TrackedServiceTarget[],
  request: ServiceChoiceRequest,
): TrackedServiceTarget | undefined {
  const withPlace = targets.filter(
    (tracked) =>
      tracked.inFlight < request.limit(tracked) && tracked.health.fullUntilMs <= request.now,
  );
  const choice = { ...request, isDomainDoubtful: rememberByDomain(request.isDomainDoubtful) };
  return takeLeastDelayed(withPlace, request.affinityKey, (tracked) => delayOf(tracked, choice));
}

/** Takes the target that keeps a copy: in another failure domain wherever there is one. */
export function chooseCopyKeeper(
  targets: TrackedServiceTarget[],
  request: CopyChoiceRequest,
): TrackedServiceTarget | undefined {
  const { running, now } = request;
  const isDomainDoubtful = rememberByDomain(request.isDomainDoubtful);
  const others = targets.filter(({ target }) => target.id !== running.target.id);
  return takeLeastDelayed(others, `copy ${request.affinityKey}`, ({ target, health, ...work }) => {
    const isSameDomain = target.failureDomain === running.target.failureDomain;
    return (
      (isSameDomain ? DOUBT_MS : 0) +
      (isSuspected(health, now) ? SUSPICION_MS : 0) +
      (isDomainDoubtful(target.failureDomain) ? DOUBT_MS : 0) +
      (getSlowness(health, now) - 1) * SLOW_RUN_MS +
      (work.inFlight + work.peerRequests) * REQUEST_MS +
      (work.replicas + work.peerReplicas) * COPY_MS
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

/** The delay that a run is expected to suffer there. */
function delayOf(tracked: TrackedServiceTarget, request: ServiceChoiceRequest): Millis {
  const { target, health, inFlight, reading, peerRequests, peerReading } = tracked;
  const failureRate = getFailureRate(health, request.now);
  return (
    (inFlight + peerRequests) * REQUEST_MS +
    (reading + peerReading) * READING_MS +
    request.locality.readPriceMs(request.failureDomain, target.failureDomain) +
    (getSlowness(health, request.now) - 1) * SLOW_RUN_MS +
    (failureRate > COMMON_FAILURE_RATE ? failureRate * FAILURE_MS : 0) +
    (isSuspected(health, request.now) ? SUSPICION_MS : 0) +
    (request.isDomainDoubtful(target.failureDomain) ? DOUBT_MS : 0) +
    (request.exclude.has(target.id) ? EXCLUDED_MS : 0)
  );
}

function takeLeastDelayed(
  targets: TrackedServiceTarget[],
  affinityKey: string,
  delayOfTarget: (tracked: TrackedServiceTarget) => Millis,
): TrackedServiceTarget | undefined {
  const delays = targets.map((tracked) => ({ tracked, delayMs: delayOfTarget(tracked) }));
  const least = Math.min(...delays.map(({ delayMs }) => delayMs));
  const equal = delays.filter(({ delayMs }) => delayMs < least + EQUAL_MS);
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
