/**
 * Detects requests that their callers repeat. Addresses callers that send a request again at once
 * while the service has too little capacity, which would displace first requests of others.
 */
import type { Millis, RequestMark } from '@limelead/types';

/** Time after a request began in which an equal one is a repeat. */
const REPEAT_WITHIN_MS: Millis = 10_000;
/** Requests that are remembered; about 800 per second for the whole time. */
const MAX_REQUESTS = 8_192;

interface SeenRequest {
  source: string;
  atMs: Millis;
  isRepeat: boolean;
}

/** Remembers hashes of recent requests. */
export default class RepeatDetector {
  /** By hash, the oldest first. */
  private readonly seen = new Map<string, SeenRequest>();

  get size(): number {
    return this.seen.size;
  }

  /**
   * Records a request and returns whether an equal one began shortly before. A further attempt of
   * the same request, which has the same number and VM, is no repeat.
   */
  isRepeat({ hash, number }: RequestMark, vm: string, now: Millis): boolean {
    const source = `${vm}/${number}`;
    const last = this.seen.get(hash);
    if (last?.source === source) {
      return last.isRepeat;
    }
    const isRepeat = last !== undefined && now - last.atMs <= REPEAT_WITHIN_MS;
    this.seen.delete(hash);
    this.seen.set(hash, { source, atMs: now, isRepeat });
    this.evict(now);
    return isRepeat;
  }

  private evict(now: Millis): void {
    for (const [hash, { atMs }] of this.seen) {
      if (this.seen.size <= MAX_REQUESTS && now - atMs <= REPEAT_WITHIN_MS) {
        return;
      }
      this.seen.delete(hash);
    }
  }
}
