/** The admission of one VM. Every method that depends on time takes the present time. */
import { LimeleadError } from '@limelead/errors';
import type { Millis, Organisation } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';

/** Seconds of an organisation's rate that may come at once. */
const BURST_SECONDS = 2;
/** Part of the VM's places that each rank below the most urgent leaves free for the ranks above it. */
const RESERVED_PER_RANK = 0.1;
const MAX_RESERVED = 0.5;
const DEMAND_HALF_LIFE_MS = 2_000;

/** Limits of the VM itself. */
export interface AdmissionLimits {
  /** Requests open on this VM at a time. */
  maxOpen: number;
}

/** What is to be admitted. */
export interface AdmissionRequest {
  organisation: Organisation;
  rank: number;
  /** Unix milliseconds; undefined is no deadline. */
  deadlineAtMs?: Millis;
  /** Milliseconds until the first token, as the router expects. */
  expectedFirstTokenMs: number;
}

/** An admitted request; has to be released once. */
export interface Ticket {
  release(): void;
}

/** Admits requests. */
export interface Admission {
  admit(request: AdmissionRequest, now: Millis): E.Either<LimeleadError, Ticket>;
  open(): number;
  /** Requests a second that this VM sees of each organisation that asked lately. */
  demand(now: Millis): { organisation: string; requestsPerSecond: number }[];
}

interface OrganisationUse {
  open: number;
  tokens: number;
  refilledAtMs: Millis;
  /** Decaying count of requests, for the demand. */
  recent: number;
  recentAtMs: Millis;
}

/** Creates the admission; `shareOf` gives the part of an organisation's limits that this VM may use. */
export default function createAdmission(
  limits: AdmissionLimits,
  shareOf: (organisation: string) => number,
): Admission {
  const uses = new Map<string, OrganisationUse>();
  let open = 0;

  function admit(request: AdmissionRequest, now: Millis): E.Either<LimeleadError, Ticket> {
    const { organisation } = request;
    const use = uses.get(organisation.name) ?? createUse(organisation, shareOf, now);
    uses.set(organisation.name, use);
    noteDemand(use, now);
    const refusal =
      findDeadlineRefusal(request, now) ??
      findOverload(request, open, limits) ??
      findLimitRefusal(organisation, use, shareOf(organisation.name), now);
    if (refusal !== undefined) {
      return E.left(refusal);
    }
    use.tokens -= 1;
    use.open += 1;
    open += 1;
    return E.right(createTicket(use));
  }

  function createTicket(use: OrganisationUse): Ticket {
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
    open: () => open,
    demand: (now) => {
      forgetIdle(uses, now);
      return [...uses].map(([organisation, use]) => ({
        organisation,
        requestsPerSecond: readDemand(use, now),
      }));
    },
  };
}

function createUse(
  organisation: Organisation,
  shareOf: (organisation: string) => number,
  now: Millis,
): OrganisationUse {
  const tokens = burstOf(organisation, shareOf(organisation.name));
  return { open: 0, tokens, refilledAtMs: now, recent: 0, recentAtMs: now };
}

function findDeadlineRefusal(request: AdmissionRequest, now: Millis): LimeleadError | undefined {
  const { deadlineAtMs, expectedFirstTokenMs } = request;
  return deadlineAtMs !== undefined && now + expectedFirstTokenMs > deadlineAtMs
    ? new LimeleadError('deadline-unreachable', 'the answer could not land before its deadline')
    : undefined;
}

function findOverload(
  request: AdmissionRequest,
  open: number,
  limits: AdmissionLimits,
): LimeleadError | undefined {
  const reserved = Math.min(MAX_RESERVED, request.rank * RESERVED_PER_RANK);
  return open >= limits.maxOpen * (1 - reserved)
    ? new LimeleadError('overloaded', 'this VM has too many open requests')
    : undefined;
}

function findLimitRefusal(
  organisation: Organisation,
  use: OrganisationUse,
  share: number,
  now: Millis,
): LimeleadError | undefined {
  const rate = organisation.requestsPerSecond * share;
  refill(use, rate, burstOf(organisation, share), now);
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

function burstOf(organisation: Organisation, share: number): number {
  return Math.max(1, organisation.requestsPerSecond * share * BURST_SECONDS);
}

function noteDemand(use: OrganisationUse, now: Millis): void {
  use.recent = decay(use, now) + 1;
  use.recentAtMs = now;
}

function readDemand(use: OrganisationUse, now: Millis): number {
  const meanLifeSeconds = DEMAND_HALF_LIFE_MS / Math.LN2 / 1000;
  return decay(use, now) / meanLifeSeconds;
}

function decay(use: OrganisationUse, now: Millis): number {
  return use.recent * 0.5 ** ((now - use.recentAtMs) / DEMAND_HALF_LIFE_MS);
}

function forgetIdle(uses: Map<string, OrganisationUse>, now: Millis): void {
  for (const [organisation, use] of uses) {
    if (use.open === 0 && decay(use, now) < 0.01) {
      uses.delete(organisation);
    }
  }
}
