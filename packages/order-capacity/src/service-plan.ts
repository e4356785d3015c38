/** What one service should have in each failure domain, from what is known of its load. */
import {
  estimateTargetNeed,
  forecastByQuantile,
  limitScaleDown,
  SCALE_DOWN_DELAY_MS,
  planDomains,
  targetsForUtilization,
  type CapacityPlan,
  type ScaleDownState,
  type TargetCounts,
} from '@limelead/plan-capacity';
import type { EngineTraits, Millis, ServiceScaling } from '@limelead/types';
import { FORECAST_WINDOW_SECONDS, type DemandEstimate } from './demand-tracker.js';
import type { DomainView } from './domain-view.js';
import type { CapacitySettings } from './settings.js';

/** Hundredths of runs, which fall as whole numbers do. */
const RUNS_SCALE = 100;
/** Seconds of load before which a forecast would follow chance. */
const MIN_OBSERVED_SECONDS = 5;
/** Tokens that a run holds beside its prompt, as a part of it: what it has written. */
const GENERATED_TOKEN_SHARE = 0.2;

/** A plan with what it came from. */
export interface ServicePlan extends CapacityPlan {
  /** Prompt tokens a second that are forecast; 0 where too little is known. */
  forecast: number;
  /** Targets that carry the forecast; 0 where too little is known. */
  needed: number;
  /** False while the plan only keeps what is there. */
  isLoadKnown: boolean;
}

/** What a plan is made from. */
export interface PlanInputs {
  now: Millis;
  scaling: ServiceScaling;
  engine: EngineTraits;
  demand: DemandEstimate | undefined;
  views: ReadonlyMap<string, DomainView>;
  isSpotUnavailable(failureDomain: string): boolean;
}

const INITIAL_STATE: ScaleDownState = {
  needed: 0,
  peakNeed: 0,
  sinceMs: -Infinity,
  isScalingDown: false,
};

/** Remembers what a plan may not forget from one look to the next. */
export default class ServicePlanner {
  private need = INITIAL_STATE;
  private runs = INITIAL_STATE;
  private startedAtMs: Millis | undefined;
  private readMsPerToken: number | undefined;
  private isLoadKnown = false;
  /** Most targets that were seen in each failure domain, until the load is known. */
  private readonly seen = new Map<string, TargetCounts>();
  /** Domains whose plain targets this holder replaces by spot ones. */
  private readonly swapped = new Set<string>();

  constructor(private readonly settings: CapacitySettings) {}

  /** Until the load is known the plan keeps as many targets as there are, or more. */
  plan(facts: PlanInputs): ServicePlan {
    const forecast = this.forecast(facts);
    this.noteKnown(facts);
    const planned = this.planFor(facts);
    const told = { forecast, needed: this.need.needed, isLoadKnown: this.isLoadKnown };
    if (this.isLoadKnown) {
      return { ...planned, ...told };
    }
    const counts = new Map(
      [...this.keepSeen(facts)].map(([name, { plain, spot }]): [string, TargetCounts] => {
        const wanted = planned.counts.get(name) ?? { plain: 0, spot: 0 };
        return [name, { plain: Math.max(plain, wanted.plain), spot: Math.max(spot, wanted.spot) }];
      }),
    );
    return { ...planned, ...told, counts };
  }

  /**
   * A new holder may order fewer once it saw all the load that forecasts look at, and only
   * after as long as a need counts: a change of holder in a lull lowers nothing.
   * Known once, it stays known: at night too few runs begin to tell how fast targets read.
   */
  private noteKnown({ demand, now }: PlanInputs): void {
    this.startedAtMs ??= now;
    this.isLoadKnown ||=
      this.readMsPerToken !== undefined &&
      (demand?.observedSeconds ?? 0) >= FORECAST_WINDOW_SECONDS &&
      now - this.startedAtMs >= SCALE_DOWN_DELAY_MS;
  }

  /** Gives the prompt tokens a second that are forecast, and takes the need for them. */
  private forecast({ demand, engine, now }: PlanInputs): number {
    this.readMsPerToken = demand?.prefillMsPerToken ?? this.readMsPerToken;
    if (
      demand === undefined ||
      this.readMsPerToken === undefined ||
      demand.observedSeconds < MIN_OBSERVED_SECONDS
    ) {
      return 0;
    }
    const { headroom, load } = this.settings;
    const forecast = forecastByQuantile(headroom)(demand.tokensBySecond);
    const need = estimateTargetNeed(
      { promptTokensPerSecond: forecast, runs: demand.runs },
      {
        prefillMsPerToken: this.readMsPerToken,
        tokensPerRun: demand.tokensPerRun * (1 + GENERATED_TOKEN_SHARE),
      },
      engine,
    );
    this.need = limitScaleDown(this.need, targetsForUtilization(load, need), now);
    // The reserve is weighed against late runs; a swing of the runs may not swing it.
    this.runs = limitScaleDown(this.runs, Math.ceil(demand.runsPerSecond * RUNS_SCALE), now);
    return forecast;
  }

  private planFor({ scaling, views, isSpotUnavailable }: PlanInputs): CapacityPlan {
    return planDomains({
      domains: [...views].map(([name, { spot }]) => ({
        name,
        mostSpot: isSpotUnavailable(name) ? spot.ready : undefined,
      })),
      scaling,
      policy: this.settings,
      needed: this.need.needed,
      runsPerSecond: this.runs.needed / RUNS_SCALE,
    });
  }

  /**
   * As many as were seen. Where there are only plain ones, spot ones replace them; where an
   * earlier holder already ordered spot ones, nobody knows here which of them replace others.
   */
  private keepSeen({ views, scaling }: PlanInputs): Map<string, TargetCounts> {
    const { usesSpot, plainFloor } = this.settings;
    const maySpot = usesSpot && (scaling.spotPrice ?? 1) < 1;
    const counts = new Map<string, TargetCounts>();
    for (const [name, { plain, spot }] of views) {
      const known = this.seen.get(name) ?? { plain: 0, spot: 0 };
      const spotThere = this.swapped.has(name) ? 0 : spot.ready + spot.leaving;
      const most = {
        plain: Math.min(scaling.max, Math.max(known.plain, plain.ready)),
        spot: Math.max(known.spot, spotThere),
      };
      this.seen.set(name, most);
      if (maySpot && most.spot === 0 && most.plain > plainFloor) {
        this.swapped.add(name);
      }
      counts.set(
        name,
        this.swapped.has(name) ? { plain: plainFloor, spot: most.plain - plainFloor } : most,
      );
    }
    return counts;
  }
}
