/** Plans the targets of one service in each failure domain from its load. */
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
import type { EngineCapabilities, Millis, ServiceScaling } from '@limelead/types';
import { FORECAST_WINDOW_SECONDS, type DemandEstimate } from './demand-tracker.js';
import type { DomainView } from './domain-view.js';
import type { CapacitySettings } from './settings.js';

/** Scales runs per second to hundredths, since the scale-down limit works on whole numbers. */
const RUNS_SCALE = 100;
/** Minimum seconds of observed load for a forecast. */
const MIN_OBSERVED_SECONDS = 5;
/** Generated tokens that a run holds in memory, as a share of its prompt. */
const GENERATED_TOKEN_SHARE = 0.2;

/** A capacity plan with the forecast that it is based on. */
export interface ServicePlan extends CapacityPlan {
  /** Forecast prompt tokens per second; 0 if too little is known. */
  forecast: number;
  /** Targets that carry the forecast; 0 if too little is known. */
  needed: number;
  /** False while the load is unknown and the plan only keeps the present targets. */
  isLoadKnown: boolean;
}

/** Inputs of one planning pass. */
export interface PlanInputs {
  now: Millis;
  scaling: ServiceScaling;
  engine: EngineCapabilities;
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

/** Plans one service and keeps state between planning passes. */
export default class ServicePlanner {
  private need = INITIAL_STATE;
  private runs = INITIAL_STATE;
  private startedAtMs: Millis | undefined;
  private prefillMsPerToken: number | undefined;
  private isLoadKnown = false;
  /** Highest target counts seen in each failure domain, until the load is known. */
  private readonly highestCounts = new Map<string, TargetCounts>();
  /** Domains whose plain targets this holder replaces by spot ones. */
  private readonly switchedToSpot = new Set<string>();

  constructor(private readonly settings: CapacitySettings) {}

  /** Returns the plan. Until the load is known, it keeps at least the present targets. */
  plan(inputs: PlanInputs): ServicePlan {
    const forecast = this.forecast(inputs);
    this.updateLoadKnown(inputs);
    const planned = this.planFor(inputs);
    const details = { forecast, needed: this.need.needed, isLoadKnown: this.isLoadKnown };
    if (this.isLoadKnown) {
      return { ...planned, ...details };
    }
    const counts = new Map(
      [...this.keepHighestCounts(inputs)].map(([name, { plain, spot }]): [string, TargetCounts] => {
        const wanted = planned.counts.get(name) ?? { plain: 0, spot: 0 };
        return [name, { plain: Math.max(plain, wanted.plain), spot: Math.max(spot, wanted.spot) }];
      }),
    );
    return { ...planned, ...details, counts };
  }

  /**
   * Marks the load as known once the forecast window is filled and the scale-down delay has passed,
   * so that a change of holder during low load does not scale down. It then stays known, because at
   * night too few runs start to measure the prefill time.
   */
  private updateLoadKnown({ demand, now }: PlanInputs): void {
    this.startedAtMs ??= now;
    this.isLoadKnown ||=
      this.prefillMsPerToken !== undefined &&
      (demand?.observedSeconds ?? 0) >= FORECAST_WINDOW_SECONDS &&
      now - this.startedAtMs >= SCALE_DOWN_DELAY_MS;
  }

  /** Returns the forecast prompt tokens per second and updates the planned need. */
  private forecast({ demand, engine, now }: PlanInputs): number {
    this.prefillMsPerToken = demand?.prefillMsPerToken ?? this.prefillMsPerToken;
    if (
      demand === undefined ||
      this.prefillMsPerToken === undefined ||
      demand.observedSeconds < MIN_OBSERVED_SECONDS
    ) {
      return 0;
    }
    const { headroom, load } = this.settings;
    const forecast = forecastByQuantile(headroom)(demand.tokensBySecond);
    const need = estimateTargetNeed(
      { promptTokensPerSecond: forecast, runs: demand.runs },
      {
        prefillMsPerToken: this.prefillMsPerToken,
        tokensPerRun: demand.tokensPerRun * (1 + GENERATED_TOKEN_SHARE),
      },
      engine,
    );
    this.need = limitScaleDown(this.need, targetsForUtilization(load, need), now);
    // Late runs determine the reserve, so swings of the runs are smoothed as well.
    this.runs = limitScaleDown(this.runs, Math.ceil(demand.runsPerSecond * RUNS_SCALE), now);
    return forecast;
  }

  private planFor({ scaling, views, isSpotUnavailable }: PlanInputs): CapacityPlan {
    return planDomains({
      domains: [...views].map(([name, { spot }]) => ({
        name,
        maxSpot: isSpotUnavailable(name) ? spot.ready : undefined,
      })),
      scaling,
      policy: this.settings,
      needed: this.need.needed,
      runsPerSecond: this.runs.needed / RUNS_SCALE,
    });
  }

  /**
   * Keeps the highest counts seen. Domains with only plain targets are switched to spot; if an
   * earlier holder already ordered spot targets, it is unknown which plain ones they replace.
   */
  private keepHighestCounts({ views, scaling }: PlanInputs): Map<string, TargetCounts> {
    const { usesSpot, plainFloor } = this.settings;
    const canUseSpot = usesSpot && (scaling.spotPrice ?? 1) < 1;
    const counts = new Map<string, TargetCounts>();
    for (const [name, { plain, spot }] of views) {
      const known = this.highestCounts.get(name) ?? { plain: 0, spot: 0 };
      const spotPresent = this.switchedToSpot.has(name) ? 0 : spot.ready + spot.leaving;
      const highest = {
        plain: Math.min(scaling.max, Math.max(known.plain, plain.ready)),
        spot: Math.max(known.spot, spotPresent),
      };
      this.highestCounts.set(name, highest);
      if (canUseSpot && highest.spot === 0 && highest.plain > plainFloor) {
        this.switchedToSpot.add(name);
      }
      counts.set(
        name,
        this.switchedToSpot.has(name)
          ? { plain: plainFloor, spot: highest.plain - plainFloor }
          : highest,
      );
    }
    return counts;
  }
}
