/**
 * The routing table of the HTTP front door, compiled once per configuration: finds the route of
 * a request, authenticates its key and chooses a service by weight.
 */
import {
  hashText,
  type CallerLimits,
  type EngineCapabilities,
  type ServedService,
  type ServingConfiguration,
  type ServingRoute,
} from '@limelead/types';

const HASH_RANGE = 0x1_0000_0000;

/** The organisation that a key belongs to. */
export interface Caller {
  organisation: string;
  /** Overrides the rank of the route. */
  rank?: number;
}

/** Result of authenticating a request; `open` if no key is required. */
export type Authentication =
  { kind: 'known'; caller: Caller } | { kind: 'open' } | { kind: 'unknown-key' };

/** A configuration compiled for lookups. */
export interface RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  /** Finds the route of the host with the longest prefix of the path. */
  findRoute(host: string, path: string): ServingRoute | undefined;
  /** Finds the caller that a key belongs to; `key` is undefined if the request has none. */
  authenticate(route: ServingRoute, key: string | undefined): Authentication;
  findService(name: string): ServedService | undefined;
  listServices(): readonly ServedService[];
  /** Whether any route sends requests to the service. */
  isRouted(service: string): boolean;
  /** Services to which any route sends streams. */
  readonly streamedServices: ReadonlySet<string>;
}

/** Compiles a configuration into its routing table. */
export default function compileRoutes(configuration: ServingConfiguration): RouteTable {
  const routesByHost = groupRoutes(configuration.routes);
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  const callers = compileCallers(configuration);
  const routedServices = listShares(configuration.routes);
  const streamedRoutes = configuration.routes.filter(({ streaming }) => streaming);
  return {
    version: configuration.version,
    limits: configuration.limits,
    findRoute(host, path) {
      const pathOnly = path.split('?', 1)[0] ?? '';
      const routes = routesByHost.get(toHostName(host));
      return routes?.find(({ pathPrefix }) => pathOnly.startsWith(pathPrefix));
    },
    authenticate(route, key) {
      if (route.open || callers === undefined) {
        return { kind: 'open' };
      }
      const caller = key === undefined ? undefined : callers.get(key);
      return caller === undefined ? { kind: 'unknown-key' } : { kind: 'known', caller };
    },
    findService: (name) => services.get(name),
    listServices: () => configuration.services,
    isRouted: (service) => routedServices.has(service),
    streamedServices: listShares(streamedRoutes),
  };
}

function listShares(routes: ServingRoute[]): Set<string> {
  return new Set(routes.flatMap(({ shares }) => shares.map(({ service }) => service)));
}

/**
 * Chooses the service of a request by the weights of the route's shares. The choice depends only
 * on the id, so that every attempt of a request or stream uses the same service.
 */
export function chooseService(route: ServingRoute, id: string): string | undefined {
  const totalWeight = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  const point = (hashText(id) / HASH_RANGE) * totalWeight;
  let cumulativeWeight = 0;
  for (const { service, weight } of route.shares) {
    cumulativeWeight += weight;
    if (point < cumulativeWeight) {
      return service;
    }
  }
  return route.shares.at(-1)?.service;
}

/** Gives the capabilities of a service's engines; undefined for plain and unknown services. */
export function findEngineCapabilities(
  table: RouteTable,
  service: string,
): EngineCapabilities | undefined {
  return table.findService(service)?.engine;
}

function groupRoutes(routes: ServingRoute[]): Map<string, ServingRoute[]> {
  const byHost = new Map<string, ServingRoute[]>();
  const longestFirst = [...routes].sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  for (const route of longestFirst) {
    const host = toHostName(route.host);
    byHost.set(host, [...(byHost.get(host) ?? []), route]);
  }
  return byHost;
}

function compileCallers(configuration: ServingConfiguration): Map<string, Caller> | undefined {
  if (configuration.organisations === undefined) {
    return undefined;
  }
  const callers = new Map<string, Caller>();
  for (const { name, keys, rank } of configuration.organisations) {
    for (const key of keys) {
      callers.set(key, { organisation: name, rank });
    }
  }
  return callers;
}

/** Normalises a `Host` header for comparison: without port, in lower case. */
function toHostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
