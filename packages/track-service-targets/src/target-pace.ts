/**
 * Present pace of targets: the time per piece as a multiple of the usual time of the service.
 * Addresses targets whose work takes a multiple of the usual time for about half a second at a
 * time, and prefills that delay the pieces of other runs at the same target.
 */
import type { Clock, Millis, ServiceTarget } from '@limelead/types';
import GapWindow, { type MeasuredGap } from './gap-window.js';
import ServicePace from './service-pace.js';
import { getSlowness } from './target-health.js';
import type { TrackedServiceTarget } from './tracked-target.js';

/** Measured time below which the gaps of a target give no pace. */
const MIN_MEASURED_MS: Millis = 150;
/** Age at which an advertised pace no longer counts. */
const ADVERTISED_TTL_MS: Millis = 300;
/** A pace below this counts as usual, since a fuller batch and jitter stay below it. */
const MIN_SLOW_PACE = 1.3;
/** Highest pace that is reported. */
const MAX_PACE = 8;
/** Reports of peers about prefills arrive up to this much late. */
const PREFILL_REPORT_DELAY_MS: Millis = 100;
/** Interval at which a target contributes to the usual pace of its service. */
const USUAL_INTERVAL_MS: Millis = 250;
/** Fewest pieces of such a contribution. */
const MIN_USUAL_PIECES = 3;

/** Records the pieces of one run. */
export interface PieceMeter {
  /** Records pieces that arrived together. */
  recordPieces(count: number, now: Millis): void;
  /** Ignores the time since the last piece, in which this VM did not read the run. */
  restart(): void;
}

interface TargetState {
  gaps: GapWindow;
  advertised?: { pace: number; atMs: Millis };
  /** Gaps since the last contribution to the usual pace. */
  usual: { sinceMs: Millis; gapMs: Millis; pieces: number };
}

/** Computes the pace of each target. */
export default class TargetPaceTable {
  private readonly targets = new Map<string, TargetState>();
  private readonly services = new Map<string, ServicePace>();

  /** @param readTarget the tracked target of an id; undefined if it is not known */
  constructor(
    private readonly clock: Clock,
    private readonly readTarget: (id: string) => TrackedServiceTarget | undefined,
  ) {}

  /** Creates the meter of a run. */
  createMeter({ id, service }: ServiceTarget): PieceMeter {
    let lastAtMs: Millis | undefined;
    return {
      recordPieces: (count, now) => {
        if (lastAtMs !== undefined && count > 0) {
          this.recordGap(id, service, { fromMs: lastAtMs, now, count });
        }
        lastAtMs = now;
      },
      restart: () => {
        lastAtMs = undefined;
      },
    };
  }

  /**
   * Time per piece at a target as a multiple of the usual time, 1 to 8. It is 1 for a usual pace
   * and where nothing is known. Own gaps and an advertised pace have precedence over the slowness
   * that peers reported, which is older.
   */
  paceOf(id: string): number {
    const tracked = this.readTarget(id);
    if (tracked === undefined) {
      return 1;
    }
    const now = this.clock.now();
    const measured = this.measuredPace(id, now);
    const advertised = this.advertisedPace(id, now);
    const pace =
      measured === undefined && advertised === undefined
        ? getSlowness(tracked.health, now)
        : Math.max(measured ?? 1, advertised ?? 1);
    return pace < MIN_SLOW_PACE ? 1 : Math.min(pace, MAX_PACE);
  }

  /**
   * Records the pace that a target advertised, as a multiple of the usual one. It counts for 300 ms
   * from `atMs`, the arrival of the answer.
   */
  recordAdvertisedPace(id: string, pace: number, atMs: Millis = this.clock.now()): void {
    if (this.readTarget(id) !== undefined && Number.isFinite(pace) && pace > 0) {
      this.stateOf(id, atMs).advertised = { pace, atMs };
    }
  }

  /** Whether a prompt is known to be prefilled at a target by a run of any VM. */
  hasPrefill(id: string): boolean {
    const tracked = this.readTarget(id);
    return tracked !== undefined && tracked.reading + tracked.peerReading > 0;
  }

  /** Longest usual gap beside a prefill at the service in milliseconds; 0 if none was seen. */
  prefillGapMs(service: string): Millis {
    return this.services.get(service)?.prefillGapMs ?? 0;
  }

  /** Drops the state of a removed target. */
  forget(id: string): void {
    this.targets.delete(id);
  }

  private measuredPace(id: string, now: Millis): number | undefined {
    const sums = this.targets.get(id)?.gaps.sumAt(now);
    return sums === undefined || sums.gapMs < MIN_MEASURED_MS
      ? undefined
      : sums.gapMs / sums.usualMs;
  }

  private advertisedPace(id: string, now: Millis): number | undefined {
    const advertised = this.targets.get(id)?.advertised;
    return advertised !== undefined && now - advertised.atMs < ADVERTISED_TTL_MS
      ? advertised.pace
      : undefined;
  }

  private recordGap(
    id: string,
    serviceName: string,
    { fromMs, now, count }: { fromMs: Millis; now: Millis; count: number },
  ): void {
    const tracked = this.readTarget(id);
    if (tracked === undefined) {
      return;
    }
    const service = this.serviceOf(serviceName);
    const state = this.stateOf(id, now);
    const gapMs = now - fromMs;
    if (this.hasPrefill(id)) {
      service.recordPrefillGap(gapMs);
      this.addGap(state, { atMs: now, gapMs, usualMs: service.usualPrefillGapMs });
    } else if (fromMs > tracked.lastReadingAtMs + PREFILL_REPORT_DELAY_MS) {
      this.recordUsual(service, state, { now, gapMs, count });
      this.addGap(state, { atMs: now, gapMs, usualMs: service.usualPieceMs * count });
    }
    // A gap that began during a prefill which has ended since belongs to neither kind.
  }

  private addGap(state: TargetState, gap: MeasuredGap): void {
    if (gap.usualMs > 0) {
      state.gaps.add(gap);
    }
  }

  private recordUsual(
    service: ServicePace,
    { usual }: TargetState,
    { now, gapMs, count }: { now: Millis; gapMs: Millis; count: number },
  ): void {
    usual.gapMs += gapMs;
    usual.pieces += count;
    if (usual.pieces >= MIN_USUAL_PIECES && now - usual.sinceMs >= USUAL_INTERVAL_MS) {
      service.recordPieceTime(usual.gapMs / usual.pieces);
      Object.assign(usual, { sinceMs: now, gapMs: 0, pieces: 0 });
    }
  }

  private stateOf(id: string, now: Millis): TargetState {
    const known = this.targets.get(id);
    if (known !== undefined) {
      return known;
    }
    const usual = { sinceMs: now, gapMs: 0, pieces: 0 };
    const state: TargetState = { gaps: new GapWindow(), usual };
    this.targets.set(id, state);
    return state;
  }

  private serviceOf(service: string): ServicePace {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const pace = new ServicePace();
    this.services.set(service, pace);
    return pace;
  }
}
