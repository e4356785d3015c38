/** What one service should have in each failure domain, from what is known of its load. */
import {
  estimateNeed,
  forecastByQuantile,
  limitFall,
  NEED_COUNTS_MS,
  planDomains,
  targetsAt,
  type CapacityPlan,
  type FallState,
  type TargetCounts,
} from '@limelead/plan-capacity';
import type { EngineCapabilities, Millis, ServiceScaling } from '@limelead/types';
import { LOAD_SECONDS, type KnownDemand } from './demand-book.js';
import type { DomainView } from './domain-view.js';
import type { CapacitySettings } from './settings.js';

/** Hundredths of runs, which fall as whole numbers do. */
const HUNDREDTHS = 100;
/** Seconds of load before which a forecast would follow chance. */
const LEAST_SECONDS = 5;
/** Tokens that a run holds beside its prompt, as a part of it: what it has written. */
const WRITTEN_SHARE = 0.2;

/** A plan with what it came from. */
export interface ServicePlan extends CapacityPlan {
  /** Prompt tokens a second that are forecast; 0 where too little is known. */
  forecast: number;
  /** Targets that carry the forecast; 0 where too little is known. */
  needed: number;
  /** False while the plan only keeps what is there. */
  isKnown: boolean;
}

/** What a plan is made from. */
export interface ServiceFacts {
  now: Millis;
  scaling: ServiceScaling;
  engine: EngineCapabilities;
  demand: KnownDemand | undefined;
  views: ReadonlyMap<string, DomainView>;
  isDry(failureDomain: string): boolean;
}

const START: FallState = { needed: 0, highest: 0, sinceMs: -Infinity, isFalling: false };

/** Remembers what a plan may not forget from one look to the next. */
export default class ServicePlanner {
  private need = START;
  private runs = START;
  private startedAtMs: Millis | undefined;
  private readMsPerToken: number | undefined;
  private isKnown = false;
  /** Most targets that were seen in each failure domain, until the load is known. */
  private readonly seen = new Map<string, TargetCounts>();
  /** Domains whose plain targets this holder replaces by spot ones. */
  private readonly swapped = new Set<string>();

  constructor(private readonly settings: CapacitySettings) {}

  /** Until the load is known the plan keeps as many targets as there are, or more. */
  plan(facts: ServiceFacts): ServicePlan {
    const forecast = this.forecast(facts);
    this.noteKnown(facts);
    const planned = this.planFor(facts);
    const told = { forecast, needed: this.need.needed, isKnown: this.isKnown };
    if (this.isKnown) {
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
  private noteKnown({ demand, now }: ServiceFacts): void {
    this.startedAtMs ??= now;
    this.isKnown ||=
      this.readMsPerToken !== undefined &&
      (demand?.seenSeconds ?? 0) >= LOAD_SECONDS &&
      now - this.startedAtMs >= NEED_COUNTS_MS;
  }

  /** Gives the prompt tokens a second that are forecast, and takes the need for them. */
  private forecast({ demand, engine, now }: ServiceFacts): number {
    this.readMsPerToken = demand?.readMsPerToken ?? this.readMsPerToken;
    if (
      demand === undefined ||
      this.readMsPerToken === undefined ||
      demand.seenSeconds < LEAST_SECONDS
    ) {
      return 0;
    }
    const { headroom, load } = this.settings;
    const forecast = forecastByQuantile(headroom)(demand.tokensBySecond);
    const need = estimateNeed(
      { promptTokensPerSecond: forecast, runs: demand.runs },
      {
        readMsPerToken: this.readMsPerToken,
        tokensPerRun: demand.tokensPerRun * (1 + WRITTEN_SHARE),
      },
      engine,
    );
    this.need = limitFall(this.need, targetsAt(load, need), now);
    // The reserve is weighed against late runs; a swing of the runs may not swing it.
    this.runs = limitFall(this.runs, Math.ceil(demand.runsPerSecond * HUNDREDTHS), now);
    return forecast;
  }

  private planFor({ scaling, views, isDry }: ServiceFacts): CapacityPlan {
    return planDomains({
      domains: [...views].map(([name, { spot }]) => ({
        name,
        mostSpot: isDry(name) ? spot.ready : undefined,
      })),
      scaling,
      policy: this.settings,
      needed: this.need.needed,
      runsPerSecond: this.runs.needed / HUNDREDTHS,
    });
  }

  /**
   * As many as were seen. Where there are only plain ones, spot ones replace them; where an
   * earlier holder already ordered spot ones, nobody knows here which of them replace others.
   */
  private keepSeen({ views, scaling }: ServiceFacts): Map<string, TargetCounts> {
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
