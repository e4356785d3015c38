/** Shapes of the HTTP front door: its configuration, its targets and one call to a target. */
import type { Millis } from './time.js';

/** Part of a route's requests that go to one service. */
export interface ServiceShare {
  service: string;
  /** Relative to the weights of the route's other shares. */
  weight: number;
}

/** Where requests of one host and path prefix go, and how they are treated. */
export interface ServingRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  shares: ServiceShare[];
  /** True where the answer is a series of numbered pieces. */
  streaming: boolean;
  /** True where a request may run more than once, a stream by being continued elsewhere. */
  repeatable: boolean;
  /** Longest time that a request may be held, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer is worth most, in milliseconds. */
  objectiveMs: number;
  /** Longest pause between pieces that callers bear, in milliseconds; undefined where none is told. */
  maxPauseMs?: number;
  /** Most targets that may run one request. */
  maxTargets: number;
  /** 0 is the most urgent. */
  rank: number;
  /** True where no key is asked for. */
  open: boolean;
}

/** What the engines of a service can do; undefined for plain services. */
export interface EngineTraits {
  /** Requests that one engine runs at once. */
  slots: number;
  /** Tokens that one engine's memory holds. */
  memoryTokens: number;
  /** True where a run's memory can be copied to another engine while it runs. */
  copiesRuns: boolean;
}

/** How many targets of a service this system orders, where it orders them. */
export interface ServiceScaling {
  /** Fewest and most targets of one failure domain, plain and spot together. */
  min: number;
  max: number;
  /** Time from an order until the new target serves. */
  bootMs: Millis;
  /** Price of a spot target as a part of a plain one; undefined where there are none. */
  spotPrice?: number;
  /** Price of one target and second by failure domain, relative to each other; empty where all are alike. */
  domainPrices: Readonly<Record<string, number>>;
}

/** A group of targets that do the same work. */
export interface ServedService {
  name: string;
  /** Connections that one target takes from all callers together. */
  maxConnections: number;
  engine?: EngineTraits;
  /** Undefined where somebody else decides how many targets there are. */
  scaling?: ServiceScaling;
}

/** An organisation and the keys that its callers show. */
export interface ServedOrganisation {
  name: string;
  keys: string[];
  /** Goes before the route's rank where given. */
  rank?: number;
}

/** What one caller may send, and how long it may take. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** Everything that operators decide about the HTTP front door. */
export interface ServingConfiguration {
  /** Rises with every change. */
  version: number;
  routes: ServingRoute[];
  services: ServedService[];
  /** Undefined where no keys are asked for. */
  organisations?: ServedOrganisation[];
  limits: CallerLimits;
}

/** One incarnation of a target, as the directory of targets tells it. */
export interface ServiceTarget {
  /** Names this incarnation; a restarted target has another id. */
  id: string;
  /** What the target calls itself, where its incarnations share a name; else its id. */
  name?: string;
  service: string;
  host: string;
  port: number;
  failureDomain: string;
  slots: number;
  /** True once it takes no new work. */
  leaving: boolean;
  /** Version of its software; undefined where it tells none. */
  version?: string;
  /** Time for which it was still slow from its start when its entry was read, in milliseconds. */
  coldForMs?: Millis;
  /** True where it costs less and may be taken away at short notice. */
  isSpot?: boolean;
  /** Time left when its notice to leave was read, in milliseconds; undefined without one. */
  leavesInMs?: Millis;
}

/** An operator's order to move a service's traffic to another version of its targets. */
export interface RollOutOrder {
  service: string;
  version: string;
  /** Time after the order by which the move is to be completed or taken back. */
  durationMs: Millis;
}

/** What one caller asked for, after the front door's checks. */
export interface IncomingRequest {
  requestId: string;
  method: string;
  /** Path and query, as received. */
  path: string;
  /** Names and values by turns, as received. */
  rawHeaders: string[];
  body: Buffer;
  /** Steady time by which the caller has to have its answer. */
  deadlineAtMs: Millis;
  /** Number of the last piece that the caller already has; 0 is none. */
  lastPiece: number;
  /** Names the caller's session or prompt, for finding what a target kept; empty for none. */
  affinityKey: string;
  /** Tokens of the prompt, 0 where unknown. */
  promptTokens: number;
}
