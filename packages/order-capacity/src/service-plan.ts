/** What one service should have in each failure domain, from what is known of its load. */
import {
  estimateNeed,
  forecastByQuantile,
  limitFall,
  planDomains,
  targetsAt,
  type CapacityPlan,
  type FallState,
  type TargetCounts,
} from '@limelead/plan-capacity';
import type { EngineTraits, Millis, ServiceScaling } from '@limelead/types';
import type { KnownDemand } from './demand-book.js';
import type { DomainView } from './domain-view.js';
import type { CapacitySettings } from './settings.js';

/** Seconds of load after which fewer targets may be ordered: the swings of a load show in them. */
const KNOWN_SECONDS = 15;
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
  engine: EngineTraits;
  demand: KnownDemand | undefined;
  views: ReadonlyMap<string, DomainView>;
  isDry(failureDomain: string): boolean;
}

/** Remembers what a plan may not forget from one look to the next. */
export default class ServicePlanner {
  private fall: FallState | undefined;
  /** Most targets that were seen in each failure domain, until the load is known. */
  private readonly seen = new Map<string, number>();

  constructor(private readonly settings: CapacitySettings) {}

  /** Until the load is known the plan keeps as many targets as there are, or more. */
  plan(facts: ServiceFacts): ServicePlan {
    const need = this.need(facts);
    const isKnown = need !== undefined && (facts.demand?.seenSeconds ?? 0) >= KNOWN_SECONDS;
    const planned = this.planFor(facts, need?.targets ?? 0);
    if (isKnown) {
      return { ...planned, ...this.tell(need), isKnown };
    }
    const kept = this.keepSeen(facts);
    const counts = new Map(
      [...kept].map(([name, { plain, spot }]): [string, TargetCounts] => {
        const wanted = planned.counts.get(name) ?? { plain: 0, spot: 0 };
        return [name, { plain: Math.max(plain, wanted.plain), spot: Math.max(spot, wanted.spot) }];
      }),
    );
    return { ...planned, counts, ...this.tell(need), isKnown };
  }

  private tell(need: { forecast: number; targets: number } | undefined) {
    return { forecast: need?.forecast ?? 0, needed: need?.targets ?? 0 };
  }

  private need({ demand, engine, now }: ServiceFacts) {
    if (demand?.readMsPerToken === undefined || demand.seenSeconds < LEAST_SECONDS) {
      return undefined;
    }
    const { headroom, load } = this.settings;
    const forecast = forecastByQuantile(headroom)(demand.tokensBySecond);
    const need = estimateNeed(
      { promptTokensPerSecond: forecast, runs: demand.runs },
      {
        readMsPerToken: demand.readMsPerToken,
        tokensPerRun: demand.tokensPerRun * (1 + WRITTEN_SHARE),
      },
      engine,
    );
    const needed = targetsAt(load, need);
    this.fall = limitFall(
      this.fall ?? { needed: 0, highest: 0, sinceMs: now, isFalling: false },
      needed,
      now,
    );
    return { forecast, targets: this.fall.needed };
  }

  private planFor(facts: ServiceFacts, needed: number): CapacityPlan {
    const { scaling, views, isDry, demand } = facts;
    return planDomains({
      domains: [...views].map(([name, { spot }]) => ({
        name,
        mostSpot: isDry(name) ? spot.ready : undefined,
      })),
      scaling,
      policy: this.settings,
      needed,
      runsPerSecond: demand?.runsPerSecond ?? 0,
    });
  }

  /** As many as were seen, of the kind that costs less; new ones come before old ones go. */
  private keepSeen({ views, scaling }: ServiceFacts): Map<string, TargetCounts> {
    const { usesSpot, plainFloor } = this.settings;
    const maySpot = usesSpot && (scaling.spotPrice ?? 1) < 1;
    const counts = new Map<string, TargetCounts>();
    for (const [name, { plain, spot }] of views) {
      // While spot targets replace plain ones, both are there.
      const there = Math.max(plain.ready, spot.ready + plainFloor);
      const most = Math.min(scaling.max, Math.max(this.seen.get(name) ?? 0, there));
      this.seen.set(name, most);
      const floor = Math.min(plainFloor, most);
      counts.set(name, !maySpot ? { plain: most, spot: 0 } : { plain: floor, spot: most - floor });
    }
    return counts;
  }
}
