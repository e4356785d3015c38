/**
 * True time as most VMs see it. Each VM tells the time by the clock that it saw when its
 * process started, carried on by its steady clock: a clock that jumps later changes nothing,
 * and one that was wrong at the start is one of many.
 */
import type { Clock, Millis } from '@limelead/types';

/** A VM that told nothing for this long, in milliseconds, may be another by now. */
const SAMPLE_TTL_MS = 60_000;
/** VMs whose word is kept; a median of more is no better. */
const MAX_PEERS = 64;

/** What an estimate needs. */
export interface TimeEstimatorOptions {
  /** Steady. */
  clock: Clock;
  /** Milliseconds since 1970 when the steady clock showed 0, by this machine's clock at the start. */
  originMs: Millis;
}

interface OriginSample {
  originMs: Millis;
  receivedAtMs: Millis;
}

interface Peer {
  incarnation: string;
  /** What it told lately, the largest first; words below a later one are left out. */
  samples: OriginSample[];
}

/** Estimates true time. */
export default class TimeEstimator implements Clock {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly options: TimeEstimatorOptions) {}

  /** This VM's own word, in milliseconds since 1970. */
  get ownTimeMs(): Millis {
    return this.options.originMs + this.options.clock.now();
  }

  /** Difference of the estimate to this VM's own word, in milliseconds. */
  get correctionMs(): Millis {
    return this.computeMedianOrigin() - this.options.originMs;
  }

  /**
   * A peer said what time it is, in milliseconds since 1970.
   * @param incarnation another for each start of the peer's process, which may see another clock
   */
  recordPeerTime(peer: string, incarnation: string, timeMs: Millis): void {
    const toldAtMs = this.options.clock.now();
    const originMs = timeMs - toldAtMs;
    const known = this.peers.get(peer);
    const earlier = known?.incarnation === incarnation ? known.samples : [];
    // A VM that stood still reads old words late, each of which alone would set true time back.
    const larger = this.listRecent(earlier).filter((word) => word.originMs > originMs);
    // Put in again at the end, so that the first is the one that was silent for longest.
    this.peers.delete(peer);
    this.peers.set(peer, {
      incarnation,
      samples: [...larger, { originMs, receivedAtMs: toldAtMs }],
    });
    const [oldest] = this.peers.keys();
    if (this.peers.size > MAX_PEERS && oldest !== undefined) {
      this.peers.delete(oldest);
    }
  }

  /** True time, in milliseconds since 1970. */
  now(): Millis {
    return this.computeMedianOrigin() + this.options.clock.now();
  }

  private computeMedianOrigin(): Millis {
    const { originMs } = this.options;
    // On its way a word only grows old, so the largest origin that a peer told is the closest.
    const told = [...this.peers.values()].flatMap(({ samples }) =>
      this.listRecent(samples).slice(0, 1),
    );
    const origins = [originMs, ...told.map((word) => word.originMs)].sort((a, b) => a - b);
    return origins[Math.floor((origins.length - 1) / 2)] ?? originMs;
  }

  private listRecent(words: readonly OriginSample[]): OriginSample[] {
    const since = this.options.clock.now() - SAMPLE_TTL_MS;
    return words.filter(({ receivedAtMs }) => receivedAtMs >= since);
  }
}
