/** Admission control of one VM. Methods that depend on time take the current time. */
import { LimeleadError } from '@limelead/errors';
import type { Millis, Organisation } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import DecayedCount from './decayed-count.js';

/** Size of a burst, in seconds of the organisation's rate. */
const BURST_SECONDS = 2;
/** Share of the VM's open requests that each rank leaves to more urgent ranks. */
const RESERVED_SHARE_PER_RANK = 0.1;
const MAX_RESERVED_SHARE = 0.5;
/** Ratio of the expected to the allowed wait from which requests are shed. */
const MIN_SHEDDING_PRESSURE = 0.75;
/** Ratio from which all requests are refused. */
const REFUSE_ALL_PRESSURE = 1.5;
/** Multiple of its fair share that an organisation may use, per unit below REFUSE_ALL_PRESSURE. */
const SLACK_PER_PRESSURE = 2;
const MIN_RETRY_AFTER_MS = 500;

/** Limits of the VM. */
export interface AdmissionLimits {
  /** Maximum number of open requests on this VM. */
  maxOpenRequests: number;
}

/** A request for admission. */
export interface AdmissionRequest {
  organisation: Organisation;
  rank: number;
  /** Unix milliseconds; undefined for no deadline. */
  deadlineAtMs?: Millis;
  /** Expected wait for a target in milliseconds. */
  expectedWaitMs: number;
  /** True if the request resumes an answer; it was admitted before and is never refused. */
  isResumed: boolean;
  /** Longest wait in milliseconds that the priority of the request allows. */
  maxQueueMs: number;
}

/** Represents an open request; `release` must be called when it ends. */
export interface AdmissionTicket {
  release(): void;
}

/** Admits or refuses requests and tracks the open ones. */
export interface AdmissionController {
  admit(request: AdmissionRequest, now: Millis): E.Either<LimeleadError, AdmissionTicket>;
  countOpen(): number;
  /** Requests per second of one organisation at this VM. */
  demandOf(organisation: string, now: Millis): number;
  /** Requests per second of each recently active organisation at this VM. */
  listDemands(now: Millis): { organisation: string; requestsPerSecond: number }[];
}

interface OrganisationUse {
  open: number;
  weight: number;
  tokens: number;
  refilledAtMs: Millis;
  demand: DecayedCount;
}

/**
 * Creates an admission controller.
 * @param shareOf share (0 to 1) of an organisation's limits that this VM may use
 */
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
    use.demand.record(now);
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
      return use === undefined ? 0 : use.demand.perSecond(now);
    },
    listDemands: (now) => {
      evictIdle(uses, now);
      return [...uses].map(([organisation, use]) => ({
        organisation,
        requestsPerSecond: use.demand.perSecond(now),
      }));
    },
  };
}

/** State that decides on a refusal, besides the request. */
interface AdmissionState {
  use: OrganisationUse;
  uses: ReadonlyMap<string, OrganisationUse>;
  open: number;
  limits: AdmissionLimits;
  /** Called only if no other check refuses the request. */
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
  return { open: 0, weight, tokens, refilledAtMs: now, demand: new DecayedCount(now) };
}

function findDeadlineRefusal(request: AdmissionRequest, now: Millis): LimeleadError | undefined {
  const { deadlineAtMs, expectedWaitMs } = request;
  return deadlineAtMs !== undefined && now + expectedWaitMs > deadlineAtMs
    ? new LimeleadError(
        'deadline-unreachable',
        'no target is expected to be free before the deadline',
      )
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
 * Refuses requests before queues at the targets grow. The closer the expected wait is to
 * the allowed wait, the fewer open requests an organisation may have relative to its fair
 * share, so organisations below their share are refused last.
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

/** Sum of the weights of organisations with open requests. */
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
    return new LimeleadError('rate-limited', 'the organisation exceeds its request rate', {
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

function evictIdle(uses: Map<string, OrganisationUse>, now: Millis): void {
  for (const [organisation, use] of uses) {
    if (use.open === 0 && use.demand.countAt(now) < 0.01) {
      uses.delete(organisation);
    }
  }
}
