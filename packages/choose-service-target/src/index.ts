/**
 * Chooses a target for a request, and a target for a replica of a run. The least expected delay
 * wins. Among equal delays the highest hash over the caller's session and the target wins, so that
 * all VMs send a session to the target that already has its prompt cached.
 */
import type { Locality } from '@limelead/locality';
import {
  isSuspected,
  getFailureRate,
  getSlowness,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import {
  hashText,
  mixHashes,
  runsSoftwareVersion,
  softwareVersionOf,
  type Millis,
} from '@limelead/types';
import {
  findEmptiest,
  getTightness,
  hasRoom,
  hasRoomForReplica,
  type MemoryCriteria,
} from './memory-fit.js';

export { hasRoom, hasRoomForReplica, type MemoryCriteria } from './memory-fit.js';

/*
 * Costs are expected delays of a run in milliseconds. Costs up to that of a request weigh targets
 * of similar load. The larger ones are penalties that exceed any load, in ascending order.
 */

/**
 * Delay per request in flight at the target, whose prompt must be read first. The engines of users
 * read a prompt in about a second, which delays every other run for that long.
 */
const REQUEST_DELAY_MS = 1_000;
/** Additional delay per prompt that is being read, since concurrent reading is slower. */
const PROMPT_READING_DELAY_MS = 1_000;
/**
 * Delay of a run that takes twice the usual duration. The runs of users last four to five times as
 * long as their prompts are read.
 */
const SLOW_RUN_DELAY_MS = 4_500;
/** Delay of a target whose answers all fail; scaled by the failure rate. */
const FAILURE_DELAY_MS = 12_000;
/** Delay of a target in a suspected failure domain; exceeds any load. */
const SUSPECTED_DOMAIN_DELAY_MS = 40_000;
/** Delay of a suspected target; exceeds that of a suspected domain. */
const SUSPECTED_TARGET_DELAY_MS = 100_000;
/** Delay of a target that already failed this request, which is chosen only as the last resort. */
const EXCLUDED_DELAY_MS = 1_000_000;
/**
 * Failure rates (0 to 1) up to this add no delay, since services have failures of their own. Some
 * fail a tenth of their calls in normal operation, and a moving average over few answers is at
 * times three times that.
 */
const TOLERATED_FAILURE_RATE = 0.35;
/** Delays closer than this count as equal; less than the delay of one request. */
const EQUAL_DELAY_TOLERANCE_MS = 500;
/** Delay per replica at a target, which takes memory but no compute time. */
const REPLICA_DELAY_MS = 500;

/** Delay of a run at a target whose memory is full, where the run may be preempted. */
const FULL_MEMORY_DELAY_MS = 2_000;
/** Pace up to which a target gets replicas; a replica at a slow target delays the run's own target. */
const MAX_REPLICA_PACE = 1.5;

/**
 * A failure domain that lost targets within this time gets no new replicas, in milliseconds.
 * Targets that return there are reported as lost or new only one by one.
 */
export const REPLICA_DOMAIN_LOSS_WINDOW_MS = 2_500;

/** Present state of targets beyond their counts; the counts and the health apply where undefined. */
export interface TargetStateCriteria {
  /** Present duration of work as a multiple of the usual one, at least 1. */
  paceOf?: (tracked: TrackedServiceTarget) => number;
  /** Undefined if the memory of the targets or the size of the request is unknown. */
  memory?: MemoryCriteria;
}

/** Criteria for the target of a request. */
export interface ServiceTargetCriteria extends TargetStateCriteria {
  affinityKey: string;
  /** Failure domain of this VM. */
  failureDomain: string;
  locality: Pick<Locality, 'readPriceMs'>;
  /** Targets that already failed this request; chosen only as the last resort. */
  exclude: ReadonlySet<string>;
  /** Maximum number of concurrent requests of this VM at a target. */
  limit: (target: TrackedServiceTarget) => number;
  isDomainSuspected: (failureDomain: string) => boolean;
  /** Expected requests of all VMs at a target. */
  requestsAt?: (tracked: TrackedServiceTarget) => number;
  now: Millis;
}

/** Criteria for the target of a replica. */
export interface ReplicaTargetCriteria extends TargetStateCriteria {
  affinityKey: string;
  /** The target that runs the request. */
  running: TrackedServiceTarget;
  isDomainSuspected: (failureDomain: string) => boolean;
  now: Millis;
}

/**
 * Chooses a target; returns undefined if all are full or there is none. A run that fits nowhere
 * waits rather than go to a suspected or already tried target, whose memory is only empty because
 * it lost its runs.
 */
export function chooseServiceTarget(
  targets: readonly TrackedServiceTarget[],
  criteria: ServiceTargetCriteria,
): TrackedServiceTarget | undefined {
  const available = targets.filter(
    (tracked) =>
      tracked.inFlight < criteria.limit(tracked) && tracked.health.fullUntilMs <= criteria.now,
  );
  const choice = { ...criteria, isDomainSuspected: memoizeByDomain(criteria.isDomainSuspected) };
  const chooseFrom = (candidates: TrackedServiceTarget[]): TrackedServiceTarget | undefined =>
    chooseLeastDelayed(candidates, criteria.affinityKey, (tracked) =>
      estimateDelayMs(tracked, choice),
    );
  const { memory } = criteria;
  const trusted =
    memory === undefined ? [] : available.filter((tracked) => isTrusted(tracked, choice));
  if (memory === undefined || trusted.length === 0) {
    return chooseFrom(available);
  }
  const roomy = trusted.filter((tracked) => hasRoom(memory, tracked));
  return roomy.length === 0 && memory.isLastResort
    ? findEmptiest(memory, trusted)
    : chooseFrom(roomy);
}

/**
 * Chooses a target for a replica, in another failure domain if there is one. Only targets of the
 * same software version can go on with it. Returns undefined if none of good pace has room.
 */
export function chooseReplicaTarget(
  targets: TrackedServiceTarget[],
  criteria: ReplicaTargetCriteria,
): TrackedServiceTarget | undefined {
  const { running, now } = criteria;
  const isDomainSuspected = memoizeByDomain(criteria.isDomainSuspected);
  const paceOf = (tracked: TrackedServiceTarget): number => getPace(tracked, criteria);
  const { memory } = criteria;
  const softwareVersion = softwareVersionOf(running.target);
  const others = targets
    .filter(({ target }) => target.id !== running.target.id)
    .filter(({ target }) => runsSoftwareVersion(target, softwareVersion))
    .filter((tracked) => paceOf(tracked) <= MAX_REPLICA_PACE)
    .filter((tracked) => memory === undefined || hasRoomForReplica(memory, tracked));
  return chooseLeastDelayed(others, `copy ${criteria.affinityKey}`, (tracked) => {
    const { target, health, ...work } = tracked;
    const isSameDomain = target.failureDomain === running.target.failureDomain;
    return (
      (isSameDomain ? SUSPECTED_DOMAIN_DELAY_MS : 0) +
      (isSuspected(health, now) ? SUSPECTED_TARGET_DELAY_MS : 0) +
      (isDomainSuspected(target.failureDomain) ? SUSPECTED_DOMAIN_DELAY_MS : 0) +
      (paceOf(tracked) - 1) * SLOW_RUN_DELAY_MS +
      (work.inFlight + work.peerRequests) * REQUEST_DELAY_MS +
      (work.replicas + work.peerReplicas) * REPLICA_DELAY_MS
    );
  });
}

/**
 * Lists the targets that a session most likely used before: in each failure domain the first
 * choices at equal load.
 * @param maxCount maximum number of targets over all domains
 */
export function listLikelyTargets(
  targets: TrackedServiceTarget[],
  affinityKey: string,
  maxCount: number,
): TrackedServiceTarget[] {
  if (targets.length <= maxCount) {
    return targets;
  }
  const keyHash = hashText(affinityKey);
  const rank = (tracked: TrackedServiceTarget): number => mixHashes(keyHash, tracked.hash);
  const ranked = [...targets].sort((a, b) => rank(b) - rank(a));
  const domains = new Set(ranked.map(({ target }) => target.failureDomain));
  const maxPerDomain = Math.max(1, Math.floor(maxCount / domains.size));
  const likely = [...domains].flatMap((domain) =>
    ranked.filter(({ target }) => target.failureDomain === domain).slice(0, maxPerDomain),
  );
  return likely.slice(0, maxCount);
}

/** Caches the result per domain, since many targets share one. */
function memoizeByDomain(isSuspectedDomain: (failureDomain: string) => boolean) {
  const known = new Map<string, boolean>();
  return (failureDomain: string): boolean => {
    const answer = known.get(failureDomain) ?? isSuspectedDomain(failureDomain);
    known.set(failureDomain, answer);
    return answer;
  };
}

/** Expected delay of a run at the target. */
function estimateDelayMs(tracked: TrackedServiceTarget, criteria: ServiceTargetCriteria): Millis {
  const { target, health, inFlight, reading, peerRequests, peerReading } = tracked;
  const { memory } = criteria;
  const requests = criteria.requestsAt?.(tracked) ?? inFlight + peerRequests;
  const prompts = reading + peerReading + (tracked.extraReading ?? 0);
  const failureRate = getFailureRate(health, criteria.now);
  return (
    requests * REQUEST_DELAY_MS +
    prompts * PROMPT_READING_DELAY_MS +
    (memory === undefined ? 0 : getTightness(memory, tracked) * FULL_MEMORY_DELAY_MS) +
    criteria.locality.readPriceMs(criteria.failureDomain, target.failureDomain) +
    (getPace(tracked, criteria) - 1) * SLOW_RUN_DELAY_MS +
    (failureRate > TOLERATED_FAILURE_RATE ? failureRate * FAILURE_DELAY_MS : 0) +
    (isSuspected(health, criteria.now) ? SUSPECTED_TARGET_DELAY_MS : 0) +
    (criteria.isDomainSuspected(target.failureDomain) ? SUSPECTED_DOMAIN_DELAY_MS : 0) +
    (criteria.exclude.has(target.id) ? EXCLUDED_DELAY_MS : 0)
  );
}

function getPace(
  tracked: TrackedServiceTarget,
  { paceOf, now }: Pick<ServiceTargetCriteria, 'paceOf' | 'now'>,
): number {
  return paceOf?.(tracked) ?? getSlowness(tracked.health, now);
}

/** Whether a target is neither suspected nor already tried by the request. */
function isTrusted(
  { target, health }: TrackedServiceTarget,
  { exclude, isDomainSuspected, now }: ServiceTargetCriteria,
): boolean {
  return (
    !exclude.has(target.id) && !isSuspected(health, now) && !isDomainSuspected(target.failureDomain)
  );
}

function chooseLeastDelayed(
  targets: TrackedServiceTarget[],
  affinityKey: string,
  delayOfTarget: (tracked: TrackedServiceTarget) => Millis,
): TrackedServiceTarget | undefined {
  const delays = targets.map((tracked) => ({ tracked, delayMs: delayOfTarget(tracked) }));
  const least = Math.min(...delays.map(({ delayMs }) => delayMs));
  const equal = delays.filter(({ delayMs }) => delayMs < least + EQUAL_DELAY_TOLERANCE_MS);
  return chooseHighestHash(
    equal.map(({ tracked }) => tracked),
    affinityKey,
  );
}

function chooseHighestHash(
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
