/** Two other ways to keep the sends of a fleet within one rate, to compare with. */
import type { AdvertisedLimit, WaitingRequests } from '@limelead/types';
import type { Permits, PermitParts } from './fleet.fixture.js';
import RateBucket from './rate-bucket.js';

/** Each VM keeps to its even part of each rate. */
export function divideEvenly(parts: PermitParts): Permits {
  return new Buckets(parts, (perSecond) => perSecond / parts.size, false);
}

/** Each VM tells every send to all others and counts those of all. */
export function tellSends(parts: PermitParts): Permits {
  return new Buckets(parts, (perSecond) => perSecond, true);
}

class Buckets implements Permits {
  private readonly buckets = new Map<string, RateBucket>();
  private waiting: WaitingRequests | undefined;

  constructor(
    private readonly parts: PermitParts,
    private readonly rateOf: (perSecond: number) => number,
    private readonly tells: boolean,
  ) {}

  attach(waiting: WaitingRequests): void {
    this.waiting = waiting;
    this.tick();
  }

  maySend(target: string): boolean {
    return (this.buckets.get(target)?.readyAtMs ?? 0) <= this.parts.clock.now();
  }

  recordSend(target: string): void {
    this.buckets.get(target)?.take(this.parts.clock.now());
    if (this.tells && this.buckets.has(target)) {
      const told = { kind: 'return-permit' as const, service: '', target };
      for (let vm = 0; vm < this.parts.size; vm += 1) {
        if (`vm${vm}` !== this.parts.fleet.self) {
          this.parts.fleet.send(`vm${vm}`, told);
        }
      }
    }
  }

  onQueueChanged(): void {
    // Whoever waits is looked after by the clock.
  }

  onResponse(target: string, told: AdvertisedLimit): void {
    if (told.kind !== 'rate') {
      this.buckets.delete(target);
    } else if (!this.buckets.has(target)) {
      this.open(target, told.perSecond);
      this.parts.fleet.publishLimits([
        { target, perSecond: told.perSecond, askedAtMs: 0, mark: '' },
      ]);
    }
  }

  onPeerUpdate(vm: string, facts: { target: string; perSecond: number | undefined }[]): void {
    for (const { target, perSecond } of facts) {
      if (perSecond !== undefined && !this.buckets.has(target)) {
        this.open(target, perSecond);
        this.parts.fleet.publishLimits([{ target, perSecond, askedAtMs: 0, mark: '' }], vm);
      }
    }
  }

  hear(_vm: string, message: { kind: string; target?: string }): void {
    this.buckets.get(message.target ?? '')?.take(this.parts.clock.now());
  }

  onPeerLost(): void {
    // Neither way asks another VM.
  }

  listLimits(): [] {
    return [];
  }

  private open(target: string, perSecond: number): void {
    const firstAfter = this.tells ? 1 : this.parts.random.next();
    const bucket = new RateBucket(this.rateOf(perSecond), this.parts.clock.now(), firstAfter);
    this.buckets.set(target, bucket);
  }

  private tick(): void {
    this.waiting?.serve();
    this.parts.timers.after(5, () => this.tick());
  }
}
