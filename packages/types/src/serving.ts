/** Types of the HTTP front door: its configuration, its targets and its requests. */
import type { Millis } from './time.js';

/** Share of a route's requests that a service gets. */
export interface ServiceShare {
  service: string;
  /** Relative to the weights of the route's other shares. */
  weight: number;
}

/** How requests of one host and path prefix are routed and treated. */
export interface ServingRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  shares: ServiceShare[];
  /** Whether the answer is a series of numbered pieces. */
  streaming: boolean;
  /** Whether a request may run more than once; a stream is continued at another target. */
  repeatable: boolean;
  /** Maximum time for a request, in milliseconds. */
  timeoutMs: number;
  /** Time objective of an answer, in milliseconds. */
  objectiveMs: number;
  /** Longest acceptable pause between pieces, in milliseconds; undefined if none is configured. */
  maxPauseMs?: number;
  /** Maximum number of targets that may run one request. */
  maxTargets: number;
  /** 0 is the most urgent. */
  rank: number;
  /** Whether no key is required. */
  open: boolean;
}

/** Capabilities of a service's engines. */
export interface EngineCapabilities {
  /** Requests that one engine runs at once. */
  slots: number;
  /** Capacity of one engine's memory, in tokens. */
  memoryTokens: number;
  /** Whether an engine can replicate a run's memory to another engine during the run. */
  copiesRuns: boolean;
  /** Whether an engine stops a run when it is asked to. */
  stopsRuns: boolean;
}

/** Limits and prices for ordering targets of a service. */
export interface ServiceScaling {
  /** Minimum and maximum number of targets per failure domain, plain and spot together. */
  min: number;
  max: number;
  /** Time from an order until the new target serves requests. */
  bootMs: Millis;
  /** Price of a spot target as a fraction of a plain one; undefined if there are none. */
  spotPrice?: number;
  /** Relative price of one target and second by failure domain; empty if all are equal. */
  domainPrices: Readonly<Record<string, number>>;
}

/** A group of targets that do the same work. */
export interface ServedService {
  name: string;
  /** Maximum number of connections to one target from all callers together. */
  maxConnections: number;
  engine?: EngineCapabilities;
  /** Undefined if the number of targets is decided elsewhere. */
  scaling?: ServiceScaling;
}

/** An organisation and the keys of its callers. */
export interface ServedOrganisation {
  name: string;
  keys: string[];
  /** Overrides the rank of the route. */
  rank?: number;
}

/** Limits on the size and duration of a caller's request. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** Configuration of the HTTP front door by operators. */
export interface ServingConfiguration {
  /** Increases with every change. */
  version: number;
  routes: ServingRoute[];
  services: ServedService[];
  /** Undefined if no keys are required. */
  organisations?: ServedOrganisation[];
  limits: CallerLimits;
}

/** One incarnation of a target, as listed in the registry. */
export interface ServiceTarget {
  /** Identifies the incarnation; a restarted target has another id. */
  id: string;
  /** The target's own name if its incarnations share one; otherwise the id applies. */
  name?: string;
  service: string;
  host: string;
  port: number;
  failureDomain: string;
  slots: number;
  /** Whether the target accepts no new requests. */
  leaving: boolean;
  /** Version of its software; undefined if unknown. */
  version?: string;
  /** Remaining time of slowness after its start when the entry was read, in milliseconds. */
  coldForMs?: Millis;
  /** Whether it costs less and may be reclaimed at short notice. */
  isSpot?: boolean;
  /** True for a VM that relays requests to targets; it is no target itself. */
  isHelper?: boolean;
  /**
   * Time left after its notice to leave when the entry was read, in milliseconds; undefined without
   * a notice.
   */
  leavesInMs?: Millis;
}

/** Version of a target's software; empty if its entry states none, which counts as one version. */
export function softwareVersionOf({ version }: Pick<ServiceTarget, 'version'>): string {
  return version ?? '';
}

/** Whether a stream of a software version may run at the target; undefined for any version. */
export function runsSoftwareVersion(
  target: Pick<ServiceTarget, 'version'>,
  softwareVersion: string | undefined,
): boolean {
  return softwareVersion === undefined || softwareVersionOf(target) === softwareVersion;
}

/** An operator's order to move a service's traffic to another version of its targets. */
export interface RollOutOrder {
  service: string;
  version: string;
  /** Time after the order by which the move is completed or rolled back. */
  durationMs: Millis;
}

/** A caller's request after the checks of the front door. */
export interface IncomingRequest {
  requestId: string;
  method: string;
  /** Path and query, as received. */
  path: string;
  /** Alternating names and values, as received. */
  rawHeaders: string[];
  body: Buffer;
  /** Steady time by which the caller must have its answer. */
  deadlineAtMs: Millis;
  /** Number of the last piece that the caller already has; 0 for none. */
  lastPiece: number;
  /** Id of the caller's attempt that brought the first piece; undefined if it names none. */
  firstAttemptId?: string;
  /**
   * Identifies the caller's session or prompt, to find a target that has it cached; empty for none.
   */
  affinityKey: string;
  /** Number of tokens of the prompt; 0 if unknown. */
  promptTokens: number;
  /** Highest number of tokens of the answer; undefined if unknown. */
  maxOutputTokens?: number;
}

/** Id under which the VMs know a stream: that of the caller's attempt that brought its first piece. */
export function streamIdOf({
  requestId,
  lastPiece,
  firstAttemptId,
}: Pick<IncomingRequest, 'requestId' | 'lastPiece' | 'firstAttemptId'>): string {
  return lastPiece > 0 ? (firstAttemptId ?? requestId) : requestId;
}
