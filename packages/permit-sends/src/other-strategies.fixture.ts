/** Two other strategies that keep the sends of a fleet within one rate, for comparison. */
import type { AdvertisedLimit, WaitingRequestQueue } from '@limelead/types';
import type { Limiter, PermitDependencies } from './fleet.fixture.js';
import RateBucket from './rate-bucket.js';

/** Each VM keeps to an even share of each rate. */
export function divideEvenly(dependencies: PermitDependencies): Limiter {
  return new BucketLimiter(dependencies, (perSecond) => perSecond / dependencies.size, false);
}

/** Each VM reports every send to all others and counts the sends of all. */
export function broadcastSends(dependencies: PermitDependencies): Limiter {
  return new BucketLimiter(dependencies, (perSecond) => perSecond, true);
}

class BucketLimiter implements Limiter {
  private readonly buckets = new Map<string, RateBucket>();
  private queue: WaitingRequestQueue | undefined;

  constructor(
    private readonly dependencies: PermitDependencies,
    private readonly toLocalRate: (perSecond: number) => number,
    private readonly isBroadcasting: boolean,
  ) {}

  attach(waiting: WaitingRequestQueue): void {
    this.queue = waiting;
    this.tick();
  }

  canSend(target: string): boolean {
    return (this.buckets.get(target)?.readyAtMs ?? 0) <= this.dependencies.clock.now();
  }

  recordSend(target: string): void {
    this.buckets.get(target)?.consume(this.dependencies.clock.now());
    if (this.isBroadcasting && this.buckets.has(target)) {
      const message = { kind: 'return-permit' as const, service: '', target };
      for (let vm = 0; vm < this.dependencies.size; vm += 1) {
        if (`vm${vm}` !== this.dependencies.fleet.self) {
          this.dependencies.fleet.send(`vm${vm}`, message);
        }
      }
    }
  }

  onQueueChanged(): void {
    // `tick` serves the queue at regular intervals.
  }

  onResponse(target: string, limit: AdvertisedLimit): void {
    if (limit.kind !== 'rate') {
      this.buckets.delete(target);
    } else if (!this.buckets.has(target)) {
      this.createBucket(target, limit.perSecond);
      this.dependencies.fleet.publishLimits([
        { target, perSecond: limit.perSecond, askedAtMs: 0, mark: '' },
      ]);
    }
  }

  onPeerUpdate(vm: string, updates: { target: string; perSecond: number | undefined }[]): void {
    for (const { target, perSecond } of updates) {
      if (perSecond !== undefined && !this.buckets.has(target)) {
        this.createBucket(target, perSecond);
        this.dependencies.fleet.publishLimits([{ target, perSecond, askedAtMs: 0, mark: '' }], vm);
      }
    }
  }

  onMessage(_vm: string, message: { kind: string; target?: string }): void {
    this.buckets.get(message.target ?? '')?.consume(this.dependencies.clock.now());
  }

  onPeerLost(): void {
    // Neither strategy requests permits from another VM.
  }

  listLimits(): [] {
    return [];
  }

  private createBucket(target: string, perSecond: number): void {
    const firstAfter = this.isBroadcasting ? 1 : this.dependencies.random.next();
    const bucket = new RateBucket(
      this.toLocalRate(perSecond),
      this.dependencies.clock.now(),
      firstAfter,
    );
    this.buckets.set(target, bucket);
  }

  private tick(): void {
    this.queue?.serve();
    this.dependencies.timers.after(5, () => this.tick());
  }
}
