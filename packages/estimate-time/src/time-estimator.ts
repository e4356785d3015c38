/**
 * Estimates the true time as the median over the VMs. Each VM reports the system time of its
 * process start plus its steady clock, so later jumps of the system clock have no effect, and
 * a clock that was wrong at the start is one of many.
 */
import type { Clock, Millis } from '@limelead/types';

/** Time after which a sample is ignored. */
const SAMPLE_TTL_MS = 60_000;
/** Maximum number of peers in the median; more do not improve it. */
const MAX_PEERS = 64;

export interface TimeEstimatorOptions {
  /** Steady clock. */
  clock: Clock;
  /** Unix milliseconds at 0 of the steady clock, by this machine's clock at the start. */
  originMs: Millis;
}

/** Origin of the steady clock in Unix milliseconds, according to a peer. */
interface OriginSample {
  originMs: Millis;
  receivedAtMs: Millis;
}

interface Peer {
  incarnation: string;
  /** Recent samples, the largest origin first; a later, larger sample replaces smaller ones. */
  samples: OriginSample[];
}

/** A clock that shows the estimated true time. */
export default class TimeEstimator implements Clock {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly options: TimeEstimatorOptions) {}

  /** Time by this VM's own clock, in Unix milliseconds. */
  get ownTimeMs(): Millis {
    return this.options.originMs + this.options.clock.now();
  }

  /** Difference of the estimate to this VM's own time, in milliseconds. */
  get correctionMs(): Millis {
    return this.computeMedianOrigin() - this.options.originMs;
  }

  /**
   * Records the time that a peer reported, in Unix milliseconds.
   * @param incarnation changes with each start of the peer's process, and with it perhaps its clock
   */
  recordPeerTime(peer: string, incarnation: string, timeMs: Millis): void {
    const receivedAtMs = this.options.clock.now();
    const originMs = timeMs - receivedAtMs;
    const known = this.peers.get(peer);
    const earlier = known?.incarnation === incarnation ? known.samples : [];
    // After a stall this VM reads old messages late; alone they would set the estimate back.
    const larger = this.listRecent(earlier).filter((sample) => sample.originMs > originMs);
    // Reinserts the peer at the end, so that the first is the one that was silent for longest.
    this.peers.delete(peer);
    this.peers.set(peer, {
      incarnation,
      samples: [...larger, { originMs, receivedAtMs }],
    });
    const [oldest] = this.peers.keys();
    if (this.peers.size > MAX_PEERS && oldest !== undefined) {
      this.peers.delete(oldest);
    }
  }

  /** Estimated true time in Unix milliseconds. */
  now(): Millis {
    return this.computeMedianOrigin() + this.options.clock.now();
  }

  private computeMedianOrigin(): Millis {
    const { originMs } = this.options;
    // Delays only lower a sample, so the largest origin of a peer is the most accurate.
    const best = [...this.peers.values()].flatMap(({ samples }) =>
      this.listRecent(samples).slice(0, 1),
    );
    const origins = [originMs, ...best.map((sample) => sample.originMs)].sort((a, b) => a - b);
    return origins[Math.floor((origins.length - 1) / 2)] ?? originMs;
  }

  private listRecent(samples: readonly OriginSample[]): OriginSample[] {
    const oldestMs = this.options.clock.now() - SAMPLE_TTL_MS;
    return samples.filter(({ receivedAtMs }) => receivedAtMs >= oldestMs);
  }
}
