import type { Millis } from '@limelead/types';

/** How near one failure domain is to another. */
export type Nearness = 'own-domain' | 'own-region' | 'other-region';

/** Price of serving a run in another location, as a delay in milliseconds that is equally bad. */
export interface LocalityPrices {
  /** In another failure domain of the region. */
  otherDomainMs: Millis;
  /** In another region. */
  otherRegionMs: Millis;
}

/**
 * Links between regions cost about three times as much as links between failure domains. A region
 * is left once its targets are three requests behind.
 */
const DEFAULT_PRICES: LocalityPrices = { otherDomainMs: 750, otherRegionMs: 2_250 };

/** Location of a VM, the regions of the fleet, and prices. */
export interface LocalitySettings {
  /** Failure domain of this VM. */
  failureDomain: string;
  /** Region of this VM; defaults to the region of its failure domain. */
  region?: string;
  /** Region of each failure domain; empty in a fleet of one region. */
  regionOf: Readonly<Record<string, string>>;
  /** Prices that override the defaults. */
  prices?: Partial<LocalityPrices>;
}

/** Answers how near two failure domains are, and the price of serving a run in the other one. */
export interface Locality {
  /** Region of this VM; undefined if the fleet has one region. */
  readonly region: string | undefined;
  /**
   * Classifies the distance between two failure domains; an unknown one counts as in the own
   * region.
   */
  readNearness(from: string, to: string): Nearness;
  /** Price of serving a run from one failure domain in another. */
  readPriceMs(from: string, to: string): Millis;
}

/** Creates a `Locality`. A fleet without known regions counts as one region. */
export default function createLocality(settings: LocalitySettings): Locality {
  const { failureDomain } = settings;
  const region = settings.region ?? settings.regionOf[failureDomain];
  const regionOf: Readonly<Record<string, string | undefined>> = {
    ...settings.regionOf,
    [failureDomain]: region,
  };
  const { otherDomainMs, otherRegionMs } = { ...DEFAULT_PRICES, ...settings.prices };
  const priceOf: Record<Nearness, Millis> = {
    'own-domain': 0,
    'own-region': otherDomainMs,
    'other-region': otherRegionMs,
  };
  const hasRegions = new Set(Object.values(regionOf).filter((name) => name !== undefined)).size > 1;
  const readNearness = (from: string, to: string): Nearness => {
    if (from === to) {
      return 'own-domain';
    }
    const [fromRegion, toRegion] = [regionOf[from], regionOf[to]];
    const isOtherRegion =
      fromRegion !== undefined && toRegion !== undefined && fromRegion !== toRegion;
    return isOtherRegion ? 'other-region' : 'own-region';
  };
  return {
    region: hasRegions ? region : undefined,
    readNearness,
    readPriceMs: (from, to) => priceOf[readNearness(from, to)],
  };
}
