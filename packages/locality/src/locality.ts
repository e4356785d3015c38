/** The regions of a fleet, how near two failure domains are, and what bytes between them cost. */
import type { Millis } from '@limelead/types';

/** How near one failure domain is to another. */
export type Nearness = 'own-domain' | 'own-region' | 'other-region';

/**
 * Price of the bytes of a run that is served elsewhere, as the delay in milliseconds that
 * one would rather bear.
 */
export interface LocalityPrices {
  /** In another failure domain of the region. */
  otherDomainMs: Millis;
  /** In another region. */
  otherRegionMs: Millis;
}

/**
 * A region is left once its targets are three requests behind: links between regions are billed about
 * three times those between failure domains.
 */
const DEFAULT_PRICES: LocalityPrices = { otherDomainMs: 750, otherRegionMs: 2_250 };

/** What is told of regions. */
export interface LocalitySettings {
  /** Failure domain of this VM. */
  failureDomain: string;
  /** Region of this VM, where it is told; the one of its failure domain otherwise. */
  region?: string;
  /** Region of each failure domain; empty where nothing tells of regions. */
  regionOf: Readonly<Record<string, string>>;
  /** Prices that the operator set; the others have their defaults. */
  prices?: Partial<LocalityPrices>;
}

/** Answers what is near. */
export interface Locality {
  /** Region of this VM; undefined where the whole fleet is in one. */
  readonly region: string | undefined;
  /** A failure domain of which nothing is told counts as one of the own region. */
  readNearness(from: string, to: string): Nearness;
  /** Price of serving a run of one failure domain in another. */
  readPriceMs(from: string, to: string): Millis;
}

/** Creates the answers. A fleet of one region is one in which nothing tells of regions. */
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
    const [here, there] = [regionOf[from], regionOf[to]];
    const isElsewhere = here !== undefined && there !== undefined && here !== there;
    return isElsewhere ? 'other-region' : 'own-region';
  };
  return {
    region: hasRegions ? region : undefined,
    readNearness,
    readPriceMs: (from, to) => priceOf[readNearness(from, to)],
  };
}
