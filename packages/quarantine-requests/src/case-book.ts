/**
 * Pure evidence against requests. A strike is the end of one incarnation of a target under a
 * run of the request that had not written anything. Strikes merge like a set: their order and
 * how often they are told make no difference.
 */
import { RecentTimes, type Millis } from '@limelead/types';
import findSuccession from './find-succession.js';
import type { CallerIdentity, RequestIdentity } from './identify-request.js';

/**
 * Strikes in succession that prove it. One may be chance, and two where a target was about to
 * go; a third run that began when the second had ended its target is none.
 */
export const PROVING_STRIKES = 3;
/**
 * So many requests of a caller that are kept from targets of a service make its others there need
 * one strike less: one whose requests all do it, each in other words, ends fewer targets.
 */
const QUARANTINES_OF_KNOWN_CALLER = 2;
/** Strikes in succession that prove it then. With one, each chance loss held one more. */
const PROVING_STRIKES_OF_KNOWN_CALLER = 2;
/** Ends of targets by which a request is suspected: so many fewer than those that prove it. */
const SUSPECTED_BEFORE = 1;
/**
 * Time without another one for which a strike counts, in milliseconds: callers that send a
 * request again do so within seconds, or minutes where they were told when to come back.
 */
const STRIKE_COUNTS_MS = 600_000;
/**
 * Time for which a request is kept from targets, in milliseconds. The fault is the request's or
 * the target's software's, and neither changes within minutes; but nobody is shut out for good.
 */
export const QUARANTINE_MS = 600_000;
/**
 * Time for which an absolution and the strikes that it refuted are remembered, in milliseconds:
 * longer than news are under way, by whatever VMs.
 */
const REFUTED_MS = 30_000;
/** An absolution this close to the one before is the same, told by another way, in milliseconds. */
const SAME_ABSOLUTION_MS = 1_000;
/** Strikes kept of one request: three in succession, and some that stand beside them. */
const MOST_STRIKES = 16;
/** Requests that evidence is kept of; 1 KB each. */
const MOST_CASES = 2_000;

/** What is to be done with a request. */
export type Verdict = 'clear' | 'suspected' | 'quarantined';

/** One incarnation ended under a run. */
export interface Strike {
  request: RequestIdentity;
  service: string;
  caller: CallerIdentity;
  /** The incarnation. */
  target: string;
  /** When the run was sent there, and when it broke; steady time. */
  startedAtMs: Millis;
  endedAtMs: Millis;
}

/** What the store holds of a request that is kept from targets. */
export interface Quarantine {
  service: string;
  caller: CallerIdentity;
}

interface Case extends Quarantine {
  /** By target. */
  strikes: Map<string, Strike>;
  quarantinedAtMs: Millis | undefined;
  changedAtMs: Millis;
}

/** Holds the evidence of one VM. */
export default class CaseBook {
  /** In the order of their last changes. */
  private readonly cases = new Map<RequestIdentity, Case>();
  /** When a request was last seen to be harmless. */
  private readonly absolvedAtMs = new Map<RequestIdentity, Millis>();
  /** Strikes that do not count any more; told once more by another way they are no news. */
  private readonly refuted = new RecentTimes(REFUTED_MS);

  /** @param onDropped called where evidence against a request goes for lack of room */
  constructor(private readonly onDropped: (request: RequestIdentity) => void = () => undefined) {}

  get size(): number {
    return this.cases.size;
  }

  /** Requests that are kept from targets now. */
  countQuarantined(now: Millis): number {
    return [...this.cases.keys()].filter((request) => this.judge(request, now) === 'quarantined')
      .length;
  }

  /** Whether there is evidence against any request for that service. */
  watches(service: string): boolean {
    return this.cases.size > 0 && [...this.cases.values()].some((one) => one.service === service);
  }

  /** Whether there is evidence against a request. */
  has(request: RequestIdentity): boolean {
    return this.cases.has(request);
  }

  /** Takes a strike; false where it is no news, or proves nothing more. */
  take(strike: Strike, now: Millis): boolean {
    this.forgetOld(now);
    const { request, target, service, caller } = strike;
    const isRefuted = this.refuted.ageMs(nameStrike(request, target), now) !== undefined;
    if (isRefuted || strike.endedAtMs <= (this.absolvedAtMs.get(request) ?? -Infinity)) {
      return false;
    }
    const known = this.cases.get(request);
    if (known?.strikes.has(target) === true || known?.quarantinedAtMs !== undefined) {
      return false;
    }
    const one = this.open(request, { service, caller }, now);
    one.strikes.set(target, strike);
    const series = findSuccession(one.strikes.values());
    if (series.length >= this.neededOf(one)) {
      one.quarantinedAtMs = now;
    } else if (one.strikes.size > MOST_STRIKES) {
      return this.dropSurplusStrike(one, series, now) !== strike;
    }
    return true;
  }

  /** Takes a strike back: its target is still there. */
  withdraw(request: RequestIdentity, target: string, now: Millis): boolean {
    const one = this.cases.get(request);
    this.refuted.note(nameStrike(request, target), now);
    if (one === undefined || one.quarantinedAtMs !== undefined || !one.strikes.delete(target)) {
      return false;
    }
    if (one.strikes.size === 0) {
      this.cases.delete(request);
    }
    return true;
  }

  /** A target ran the request and is there still; false where that is known. */
  absolve(request: RequestIdentity, atMs: Millis, now: Millis): boolean {
    const before = this.absolvedAtMs.get(request) ?? -Infinity;
    const one = this.cases.get(request);
    if (one === undefined && atMs <= before + SAME_ABSOLUTION_MS) {
      return false;
    }
    this.absolvedAtMs.set(request, Math.max(before, atMs));
    one?.strikes.forEach(({ target }) => this.refuted.note(nameStrike(request, target), now));
    this.cases.delete(request);
    return true;
  }

  /** Another VM proved it, or this one in an earlier life. */
  quarantine(request: RequestIdentity, quarantine: Quarantine, now: Millis): boolean {
    if (this.judge(request, now) === 'quarantined') {
      return false;
    }
    this.open(request, quarantine, now).quarantinedAtMs = now;
    return true;
  }

  /** The quarantine is over; from here on one more strike proves it again. */
  release(request: RequestIdentity, now: Millis): void {
    const one = this.cases.get(request);
    if (one?.quarantinedAtMs === undefined) {
      return;
    }
    one.quarantinedAtMs = undefined;
    one.strikes = new Map(createPriors(request, one, now));
    this.touch(request, one, now);
  }

  judge(request: RequestIdentity, now: Millis): Verdict {
    const one = this.cases.get(request);
    if (one === undefined) {
      return 'clear';
    }
    if (one.quarantinedAtMs !== undefined) {
      if (now - one.quarantinedAtMs < QUARANTINE_MS) {
        return 'quarantined';
      }
      this.release(request, now);
    }
    return one.strikes.size >= this.neededOf(one) - SUSPECTED_BEFORE ? 'suspected' : 'clear';
  }

  /** Time until the quarantine of a request is over, in milliseconds; 0 for none. */
  quarantineLeftMs(request: RequestIdentity, now: Millis): Millis {
    const since = this.cases.get(request)?.quarantinedAtMs;
    return since === undefined ? 0 : Math.max(0, since + QUARANTINE_MS - now);
  }

  /** Targets that ended under a request, in the order in which they did. */
  listTargets(request: RequestIdentity): string[] {
    return this.listStrikes(request).map(({ target }) => target);
  }

  listStrikes(request: RequestIdentity): Strike[] {
    const strikes = [...(this.cases.get(request)?.strikes.values() ?? [])];
    return strikes.sort((a, b) => a.endedAtMs - b.endedAtMs);
  }

  /** All strikes, the newest cases first. */
  listAll(): Strike[] {
    return [...this.cases.values()].reverse().flatMap(({ strikes }) => [...strikes.values()]);
  }

  /** Strikes in succession that prove it of a caller's request. */
  private neededOf({ caller, service }: Case): number {
    const kept = [...this.cases.values()].filter(
      (one) =>
        one.quarantinedAtMs !== undefined && one.caller === caller && one.service === service,
    );
    return kept.length < QUARANTINES_OF_KNOWN_CALLER
      ? PROVING_STRIKES
      : PROVING_STRIKES_OF_KNOWN_CALLER;
  }

  private open(request: RequestIdentity, { service, caller }: Quarantine, now: Millis): Case {
    const one = this.cases.get(request) ?? {
      service,
      caller,
      strikes: new Map<string, Strike>(),
      quarantinedAtMs: undefined,
      changedAtMs: now,
    };
    this.touch(request, one, now);
    this.dropSurplus();
    return one;
  }

  private touch(request: RequestIdentity, one: Case, now: Millis): void {
    one.changedAtMs = now;
    this.cases.delete(request);
    this.cases.set(request, one);
  }

  private forgetOld(now: Millis): void {
    for (const [request, { changedAtMs, quarantinedAtMs }] of this.cases) {
      if (now - changedAtMs < STRIKE_COUNTS_MS) {
        break;
      }
      if (quarantinedAtMs === undefined) {
        this.cases.delete(request);
      } else {
        this.release(request, now);
      }
    }
    for (const [request, atMs] of this.absolvedAtMs) {
      if (now - atMs > REFUTED_MS) {
        this.absolvedAtMs.delete(request);
      }
    }
  }

  /** The newest of those that stand beside others goes; told again, it is no news. */
  private dropSurplusStrike({ strikes }: Case, series: Strike[], now: Millis): Strike | undefined {
    const surplus = [...strikes.values()].filter((strike) => !series.includes(strike)).at(-1);
    if (surplus !== undefined) {
      const { request, target } = surplus;
      strikes.delete(target);
      this.refuted.note(nameStrike(request, target), now);
    }
    return surplus;
  }

  /** What is only suspected goes before what is proved, the oldest first. */
  private dropSurplus(): void {
    if (this.cases.size <= MOST_CASES) {
      return;
    }
    const all = [...this.cases];
    const [surplus] = all.find(([, one]) => one.quarantinedAtMs === undefined) ?? all[0] ?? [];
    if (surplus !== undefined) {
      this.cases.delete(surplus);
      this.onDropped(surplus);
    }
  }
}

function nameStrike(request: RequestIdentity, target: string): string {
  return `${request} ${target}`;
}

/** What stands for the strikes before a quarantine that is over. */
function createPriors(
  request: RequestIdentity,
  { service, caller }: Quarantine,
  now: Millis,
): [string, Strike][] {
  return Array.from({ length: PROVING_STRIKES - 1 }, (_, index) => {
    const atMs = now - (PROVING_STRIKES - 1 - index);
    const target = `before-${index + 1}`;
    return [target, { request, service, caller, target, startedAtMs: atMs, endedAtMs: atMs }];
  });
}
