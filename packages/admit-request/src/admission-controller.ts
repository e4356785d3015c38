/** The admission of one VM. Every method that depends on time takes the present time. */
import { LimeleadError } from '@limelead/errors';
import type { Millis, Organisation } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';

/** Seconds of an organisation's rate that may come at once. */
const BURST_SECONDS = 2;
/** Part of the VM's places that each rank below the most urgent leaves free for the ranks above it. */
const RESERVED_SHARE_PER_RANK = 0.1;
const MAX_RESERVED_SHARE = 0.5;
const DEMAND_HALF_LIFE_MS = 2_000;
/** Part of the allowed wait below which nobody is refused for it. */
const MIN_SHEDDING_PRESSURE = 0.75;
/** Part of the allowed wait from which everybody is refused. */
const REFUSE_ALL_PRESSURE = 1.5;
/** Times its fair share that an organisation may have open when shares begin to count. */
const SLACK_PER_PRESSURE = 2;
const MIN_RETRY_AFTER_MS = 500;

/** Limits of the VM itself. */
export interface AdmissionLimits {
  /** Requests open on this VM at a time. */
  maxOpenRequests: number;
}

/** What is to be admitted. */
export interface AdmissionRequest {
  organisation: Organisation;
  rank: number;
  /** Unix milliseconds; undefined is no deadline. */
  deadlineAtMs?: Millis;
  /** Milliseconds of waiting for a target, as the router expects. */
  expectedWaitMs: number;
  /** True for an answer that goes on here: it was admitted once, and is not refused in its middle. */
  isResumed: boolean;
  /** Expected wait beyond which the request's priority wants a refusal. */
  maxQueueMs: number;
}

/** An admitted request; has to be released once. */
export interface AdmissionTicket {
  release(): void;
}

/** Admits requests. */
export interface AdmissionController {
  admit(request: AdmissionRequest, now: Millis): E.Either<LimeleadError, AdmissionTicket>;
  countOpen(): number;
  /** Requests a second that this VM sees of one organisation. */
  demandOf(organisation: string, now: Millis): number;
  /** Requests a second that this VM sees of each organisation that asked lately. */
  listDemands(now: Millis): { organisation: string; requestsPerSecond: number }[];
}

interface OrganisationUse {
  open: number;
  weight: number;
  tokens: number;
  refilledAtMs: Millis;
  /** Decaying count of requests, for the demand. */
  recentRequests: number;
  decayedAtMs: Millis;
}

/** Creates the admission; `shareOf` gives the part of an organisation's limits that this VM may use. */
export default function createAdmissionController(
  limits: AdmissionLimits,
  shareOf: (organisation: string) => number,
): AdmissionController {
  const uses = new Map<string, OrganisationUse>();
  let open = 0;

  function admit(request: AdmissionRequest, now: Millis): E.Either<LimeleadError, AdmissionTicket> {
    const { organisation } = request;
    const use = uses.get(organisation.name) ?? createUse(organisation, shareOf, now);
    uses.set(organisation.name, use);
    recordDemand(use, now);
    const refusal = request.isResumed
      ? undefined
      : findRefusal(request, { use, uses, open, limits, shareOf }, now);
    if (refusal !== undefined) {
      return E.left(refusal);
    }
    use.tokens -= request.isResumed ? 0 : 1;
    use.open += 1;
    open += 1;
    return E.right(createTicket(use));
  }

  function createTicket(use: OrganisationUse): AdmissionTicket {
    let isReleased = false;
    return {
      release() {
        if (!isReleased) {
          isReleased = true;
          use.open -= 1;
          open -= 1;
        }
      },
    };
  }

  return {
    admit,
    countOpen: () => open,
    demandOf: (organisation, now) => {
      const use = uses.get(organisation);
      return use === undefined ? 0 : computeDemand(use, now);
    },
    listDemands: (now) => {
      evictIdle(uses, now);
      return [...uses].map(([organisation, use]) => ({
        organisation,
        requestsPerSecond: computeDemand(use, now),
      }));
    },
  };
}

/** What a refusal is decided from, besides the request. */
interface AdmissionState {
  use: OrganisationUse;
  uses: ReadonlyMap<string, OrganisationUse>;
  open: number;
  limits: AdmissionLimits;
  /** Worked out only where nothing else refuses. */
  shareOf: (organisation: string) => number;
}

function findRefusal(
  request: AdmissionRequest,
  { use, uses, open, limits, shareOf }: AdmissionState,
  now: Millis,
): LimeleadError | undefined {
  return (
    findDeadlineRefusal(request, now) ??
    findOverloadRefusal(request, open, limits) ??
    findQueueRefusal(request, use, uses, open) ??
    findLimitRefusal(request.organisation, use, shareOf(request.organisation.name), now)
  );
}

function createUse(
  organisation: Organisation,
  shareOf: (organisation: string) => number,
  now: Millis,
): OrganisationUse {
  const tokens = computeBurst(organisation, shareOf(organisation.name));
  const { weight } = organisation;
  return { open: 0, weight, tokens, refilledAtMs: now, recentRequests: 0, decayedAtMs: now };
}

function findDeadlineRefusal(request: AdmissionRequest, now: Millis): LimeleadError | undefined {
  const { deadlineAtMs, expectedWaitMs } = request;
  return deadlineAtMs !== undefined && now + expectedWaitMs > deadlineAtMs
    ? new LimeleadError('deadline-unreachable', 'the answer could not land before its deadline')
    : undefined;
}

function findOverloadRefusal(
  request: AdmissionRequest,
  open: number,
  limits: AdmissionLimits,
): LimeleadError | undefined {
  const reserved = Math.min(MAX_RESERVED_SHARE, request.rank * RESERVED_SHARE_PER_RANK);
  return open >= limits.maxOpenRequests * (1 - reserved)
    ? new LimeleadError('overloaded', 'this VM has too many open requests')
    : undefined;
}

/**
 * Refuses before queues at the targets grow. The closer the expected wait comes
 * to what the priority allows, the less an organisation may have open beyond
 * its fair share; those below their share are refused last.
 */
function findQueueRefusal(
  { organisation, expectedWaitMs, maxQueueMs }: AdmissionRequest,
  use: OrganisationUse,
  uses: ReadonlyMap<string, OrganisationUse>,
  open: number,
): LimeleadError | undefined {
  const pressure = expectedWaitMs / maxQueueMs;
  if (pressure < MIN_SHEDDING_PRESSURE) {
    return undefined;
  }
  const slack = Math.max(0, (REFUSE_ALL_PRESSURE - pressure) * SLACK_PER_PRESSURE);
  const fairShare = organisation.weight / sumOpenWeights(uses);
  const isWithinShare = use.open < slack * fairShare * open + 1;
  return isWithinShare && pressure < REFUSE_ALL_PRESSURE
    ? undefined
    : new LimeleadError('overloaded', 'the targets are too busy', {
        retryAfterMs: Math.ceil(Math.max(expectedWaitMs, MIN_RETRY_AFTER_MS)),
      });
}

/** Weights of the organisations that have something open. */
function sumOpenWeights(uses: ReadonlyMap<string, OrganisationUse>): number {
  let sum = 0;
  for (const { open, weight } of uses.values()) {
    sum += open > 0 ? weight : 0;
  }
  return Math.max(sum, Number.MIN_VALUE);
}

function findLimitRefusal(
  organisation: Organisation,
  use: OrganisationUse,
  share: number,
  now: Millis,
): LimeleadError | undefined {
  const rate = organisation.requestsPerSecond * share;
  refill(use, rate, computeBurst(organisation, share), now);
  if (use.tokens < 1) {
    const retryAfterMs = Math.ceil(((1 - use.tokens) * 1000) / rate);
    return new LimeleadError('rate-limited', 'the rate of the organisation is used up', {
      retryAfterMs,
    });
  }
  return use.open >= Math.max(1, organisation.maxConcurrent * share)
    ? new LimeleadError('rate-limited', 'the organisation has too many open requests')
    : undefined;
}

function refill(use: OrganisationUse, rate: number, burst: number, now: Millis): void {
  const seconds = Math.max(0, now - use.refilledAtMs) / 1000;
  use.tokens = Math.min(burst, use.tokens + seconds * rate);
  use.refilledAtMs = now;
}

function computeBurst(organisation: Organisation, share: number): number {
  return Math.max(1, organisation.requestsPerSecond * share * BURST_SECONDS);
}

function recordDemand(use: OrganisationUse, now: Millis): void {
  use.recentRequests = computeDecayedRequests(use, now) + 1;
  use.decayedAtMs = now;
}

function computeDemand(use: OrganisationUse, now: Millis): number {
  const meanLifeSeconds = DEMAND_HALF_LIFE_MS / Math.LN2 / 1000;
  return computeDecayedRequests(use, now) / meanLifeSeconds;
}

function computeDecayedRequests(use: OrganisationUse, now: Millis): number {
  return use.recentRequests * 0.5 ** ((now - use.decayedAtMs) / DEMAND_HALF_LIFE_MS);
}

function evictIdle(uses: Map<string, OrganisationUse>, now: Millis): void {
  for (const [organisation, use] of uses) {
    if (use.open === 0 && computeDecayedRequests(use, now) < 0.01) {
      uses.delete(organisation);
    }
  }
}
