/**
 * Pure routing table of the HTTP front door. It is compiled once for each
 * configuration and answers which route a request takes, whose key it shows
 * and which service of a split it goes to.
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

/** The organisation behind a key. */
export interface Caller {
  organisation: string;
  /** Goes before the route's rank where given. */
  rank?: number;
}

/** What a request with a key may do. */
export type Authentication =
  { kind: 'known'; caller: Caller } | { kind: 'open' } | { kind: 'unknown-key' };

/** A compiled configuration. */
export interface RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  /** The route with the longest prefix of the path on that host. */
  findRoute(host: string, path: string): ServingRoute | undefined;
  /** Says who calls; `key` is undefined where none was shown. */
  authenticate(route: ServingRoute, key: string | undefined): Authentication;
  findService(name: string): ServedService | undefined;
  listServices(): readonly ServedService[];
  /** Whether any route may send requests to the service. */
  isRouted(service: string): boolean;
}

/** Compiles a configuration. */
export default function compileRoutes(configuration: ServingConfiguration): RouteTable {
  const routesByHost = groupRoutes(configuration.routes);
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  const callers = compileCallers(configuration);
  const routed = new Set(
    configuration.routes.flatMap(({ shares }) => shares.map(({ service }) => service)),
  );
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
    isRouted: (service) => routed.has(service),
  };
}

/**
 * The service that a request goes to. The same request always takes the same
 * share, so that a second try meets the service that the first one met.
 */
export function chooseService(route: ServingRoute, requestId: string): string | undefined {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  const point = (hashText(requestId) / HASH_RANGE) * total;
  let passed = 0;
  for (const { service, weight } of route.shares) {
    passed += weight;
    if (point < passed) {
      return service;
    }
  }
  return route.shares.at(-1)?.service;
}

/** Features of a service's engines; undefined for plain services and unknown ones. */
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

/** Host names are compared without their port and in lower case. */
function toHostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
