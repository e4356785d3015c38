/**
 * Detects slow targets by the time per piece, compared with the other targets of the service. A
 * slow target answers all requests, so it causes no failures, and its own usual pace is not known.
 */
import type { PieceMeter } from '@limelead/track-service-targets';
import type { Millis, ServiceTarget } from '@limelead/types';

/** Pieces per sample; several, so that one delayed piece has little effect. */
const PIECES_PER_SAMPLE = 10;
/** Samples kept per service; their median is the usual pace. */
const MAX_SAMPLES = 31;
/** Samples of a service that are required before a target counts as slow. */
const MIN_SAMPLES = 5;
/** Lowest ratio to the usual pace that counts as slow; a fuller batch stays below it. */
const MIN_SLOWNESS = 1.8;
/** Highest slowness that is reported; a target this slow is avoided anyway. */
const MAX_SLOWNESS = 8;

/** Called when the slowness of a target changes. */
export type OnSlownessChanged = (target: string, slowness: number) => void;

/** Tracks the slowness of targets from the pace of this VM's runs. */
export default class SlownessTracker {
  /** Latest samples per service, in milliseconds per piece. */
  private readonly paces = new Map<string, Millis[]>();
  private readonly slowness = new Map<string, number>();

  constructor(private readonly onSlownessChanged: OnSlownessChanged) {}

  /** Ratio of the target's time per piece to the usual one; 1 if normal or unknown. */
  slownessOf(target: string): number {
    return this.slowness.get(target) ?? 1;
  }

  /** Drops the state of a removed target. */
  forget(target: string): void {
    this.slowness.delete(target);
  }

  createMeter(target: ServiceTarget): PieceMeter {
    let pieces = 0;
    let sinceMs: Millis | undefined;
    return {
      recordPieces: (count, now) => {
        pieces += sinceMs === undefined ? 0 : count;
        sinceMs ??= now;
        if (pieces >= PIECES_PER_SAMPLE) {
          this.recordPace(target, (now - sinceMs) / pieces);
          pieces = 0;
          sinceMs = now;
        }
      },
      restart: () => {
        pieces = 0;
        sinceMs = undefined;
      },
    };
  }

  private recordPace({ id, service }: ServiceTarget, paceMs: Millis): void {
    const paces = this.paces.get(service) ?? [];
    this.paces.set(service, paces);
    paces.push(paceMs);
    if (paces.length > MAX_SAMPLES) {
      paces.shift();
    }
    const measured = paces.length < MIN_SAMPLES ? 1 : paceMs / medianOf(paces);
    const slowness = measured < MIN_SLOWNESS ? 1 : Math.min(Math.round(measured), MAX_SLOWNESS);
    if (slowness !== this.slownessOf(id)) {
      this.setSlowness(id, slowness);
      this.onSlownessChanged(id, slowness);
    }
  }

  private setSlowness(id: string, slowness: number): void {
    if (slowness === 1) {
      this.slowness.delete(id);
    } else {
      this.slowness.set(id, slowness);
    }
  }
}

function medianOf(values: Millis[]): Millis {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
