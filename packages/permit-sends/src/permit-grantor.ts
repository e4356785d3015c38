/**
 * Pure: which waiting request of which VM gets the next permit of a service's targets that name
 * limits, and which can't get one in time. One VM decides it for all, or each for itself
 * with a part of the rates.
 */
import type { Millis, Random, Want } from '@limelead/types';
import RateBucket from './rate-bucket.js';

const SECOND_MS: Millis = 1_000;
/** A VM that asked this long ago asks no more; those that wait ask anew all the time. */
const ASK_LIFE_MS: Millis = 500;
/** Least time for which a permit is of use to a request that waits. */
const SERVE_RESERVE_MS: Millis = 50;
/** Longest time after which a refused caller is asked to come back. */
const MOST_RETRY_AFTER_MS: Millis = 10_000;

/** What one VM asks for; replaces what it asked for before. */
export interface PermitAsk {
  vm: string;
  wants: readonly Want[];
  /** Targets that the VM can't send to now. */
  avoid: ReadonlySet<string>;
  /** Whether requests may be refused: all targets of the service name limits. */
  mayRefuse: boolean;
  /** Grants that the VM got from this grantor before it asked. */
  received: number;
}

/** A permit for one request. */
export interface Grant {
  vm: string;
  want: number;
  target: string;
}

/** No permit comes in time. */
export interface Refusal {
  vm: string;
  want: number;
  retryAfterMs: Millis;
}

/** What follows now. */
export interface PermitDecision {
  grants: Grant[];
  refusals: Refusal[];
  /** When there is more to decide; Infinity where nobody waits. */
  nextAtMs: Millis;
}

interface KnownAsk extends PermitAsk {
  askedAtMs: Millis;
}

interface Waiting {
  ask: KnownAsk;
  want: Want;
}

/** What a grantor is made with. */
export interface PermitGrantorOptions {
  random: Random;
  /** When the first permit of a target is due, in times between two. */
  drawFirst(): number;
}

/** Grants the permits of one service. */
export default class PermitGrantor {
  private readonly buckets = new Map<string, RateBucket>();
  private readonly asks = new Map<string, KnownAsk>();
  /** Grants given to each VM. */
  private readonly given = new Map<string, number>();
  /** Until when the room behind those that wait is promised to callers who come back. */
  private promisedUntilMs: Millis = 0;

  constructor(private readonly options: PermitGrantorOptions) {}

  /** Requests that wait here, of all VMs. */
  get waiting(): number {
    return [...this.asks.values()].reduce((sum, { wants }) => sum + wants.length, 0);
  }

  /** Takes the targets that name limits, with the permits a second that are granted here. */
  setRates(rates: ReadonlyMap<string, number>, now: Millis): void {
    for (const target of [...this.buckets.keys()].filter((id) => !rates.has(id))) {
      this.buckets.delete(target);
    }
    for (const [target, perSecond] of rates) {
      const known = this.buckets.get(target);
      if (known === undefined) {
        const bucket = new RateBucket(perSecond, now, this.options.drawFirst());
        this.buckets.set(target, bucket);
      } else {
        known.change(perSecond, now);
      }
    }
  }

  /** A VM asks. */
  take(ask: PermitAsk, now: Millis): void {
    // Grants that were under way when the VM asked went to the first of those that it names.
    const underWay = Math.max(0, (this.given.get(ask.vm) ?? 0) - ask.received);
    const wants = [...ask.wants].sort(compareWants).slice(underWay);
    this.asks.set(ask.vm, { ...ask, wants, askedAtMs: now });
  }

  /** A VM is gone; another process with its address begins anew. */
  forget(vm: string): void {
    this.asks.delete(vm);
    this.given.delete(vm);
  }

  /** A VM had no use for a permit; it gets no more before it asks again. */
  giveBack(vm: string, target: string): void {
    this.asks.delete(vm);
    this.buckets.get(target)?.giveBack();
  }

  /** Nobody knows what was granted elsewhere in the meantime: no permit is due at once. */
  restart(now: Millis): void {
    this.buckets.forEach((bucket) => bucket.postpone(now, this.options.drawFirst()));
  }

  /** Grants what is due, and finds those that wait in vain. */
  decide(now: Millis): PermitDecision {
    this.dropOld(now);
    const grants: Grant[] = [];
    const left: Waiting[] = [];
    let ready = this.listReady(now);
    for (const waiting of this.listWaiting()) {
      const target = ready.find((id) => !waiting.ask.avoid.has(id));
      if (target === undefined) {
        left.push(waiting);
      } else {
        grants.push(this.grant(waiting, target, now));
        ready = this.listReady(now);
      }
    }
    return { grants, ...this.refuse(left, now) };
  }

  private dropOld(now: Millis): void {
    for (const [vm, ask] of this.asks) {
      const wants = ask.wants.filter(({ untilMs }) => untilMs > now);
      if (wants.length === 0 || now - ask.askedAtMs > ASK_LIFE_MS) {
        this.asks.delete(vm);
      } else {
        ask.wants = wants;
      }
    }
  }

  /** In the order in which they are served. */
  private listWaiting(): Waiting[] {
    return [...this.asks.values()]
      .flatMap((ask) => ask.wants.map((want) => ({ ask, want })))
      .sort((a, b) => compareWants(a.want, b.want));
  }

  /** Targets with a permit that is due, the one that waits longest first. */
  private listReady(now: Millis): string[] {
    return [...this.buckets]
      .filter(([, { readyAtMs }]) => readyAtMs <= now)
      .sort(([, a], [, b]) => a.readyAtMs - b.readyAtMs)
      .map(([target]) => target);
  }

  private grant({ ask, want }: Waiting, target: string, now: Millis): Grant {
    this.buckets.get(target)?.take(now);
    this.given.set(ask.vm, (this.given.get(ask.vm) ?? 0) + 1);
    ask.wants = ask.wants.filter((other) => other !== want);
    return { vm: ask.vm, want: want.id, target };
  }

  private refuse(left: Waiting[], now: Millis): Pick<PermitDecision, 'refusals' | 'nextAtMs'> {
    const buckets = [...this.buckets.values()];
    const firstAtMs = Math.max(now, Math.min(...buckets.map(({ readyAtMs }) => readyAtMs)));
    const perSecond = buckets.reduce((sum, bucket) => sum + bucket.perSecond, 0);
    const refusals: Refusal[] = [];
    let before = 0;
    for (const { ask, want } of left) {
      const servedAtMs = firstAtMs + (before * SECOND_MS) / perSecond;
      if (ask.mayRefuse && servedAtMs > want.untilMs - SERVE_RESERVE_MS) {
        ask.wants = ask.wants.filter((other) => other !== want);
        const roomAtMs = now + Math.max(0, servedAtMs - want.untilMs);
        const retryAfterMs = this.promiseRoom(roomAtMs, SECOND_MS / perSecond, now);
        refusals.push({ vm: ask.vm, want: want.id, retryAfterMs });
      } else {
        before += 1;
      }
    }
    const isIdle = before === 0;
    return { refusals, nextAtMs: isIdle ? Infinity : this.findNextAtMs(now) };
  }

  /** Each caller who comes back is promised a time of its own, so that they don't come together. */
  private promiseRoom(roomAtMs: Millis, stepMs: Millis, now: Millis): Millis {
    const atMs = Math.max(roomAtMs, this.promisedUntilMs);
    if (atMs - now > MOST_RETRY_AFTER_MS) {
      return MOST_RETRY_AFTER_MS * (1 + this.options.random.next());
    }
    this.promisedUntilMs = atMs + stepMs;
    return atMs - now;
  }

  /** The next permit; those that are ready now and avoided by all who wait are not waited for. */
  private findNextAtMs(now: Millis): Millis {
    const times = [...this.buckets.values()].map(({ readyAtMs }) => readyAtMs);
    return Math.min(...times.filter((atMs) => atMs > now), now + ASK_LIFE_MS);
  }
}

function compareWants(a: Want, b: Want): number {
  return a.rank - b.rank || a.untilMs - b.untilMs;
}
