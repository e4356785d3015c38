/** Configuration by operators as plain data. Mirrors the JSON form of limelead.v1. */

/** Number of accepted changes; 0 is the empty configuration. */
export type Revision = number;

/** The model, adapter and version that serve new requests of a service. */
export interface ModelService {
  model: string;
  adapter: string;
  version: string;
}

/** A service beside the model engines that is called once per request. */
export interface PlainService {
  timeoutMs: number;
}

/** Exactly one of `model` and `plain` is present. */
export interface Service {
  name: string;
  model?: ModelService;
  plain?: PlainService;
  defaultPriority: string;
}

/** Callers that share keys, limits and a fair share. */
export interface Organisation {
  name: string;
  /** Hex SHA-256 of each accepted key. */
  keyHashes: string[];
  /** Relative share of the capacity under overload, above 0. */
  weight: number;
  /** Requests a second over all VMs. */
  requestsPerSecond: number;
  /** Open requests over all VMs. */
  maxConcurrent: number;
}

/** A person who may change the configuration. */
export interface Operator {
  name: string;
  keyHashes: string[];
}

/**
 * How a broken or silent stream is continued: a trade-off between resume latency and resource use.
 */
export interface RecoveryPolicy {
  /** Deviations above the mean token gap after which a target is suspected. */
  suspicionFactor: number;
  /** Lower bound of the suspicion time in milliseconds. */
  minSilenceMs: number;
  /** Upper bound of the suspicion time in milliseconds. */
  maxSilenceMs: number;
  /**
   * Whether a second attempt starts on suspicion while the first one is kept until one of them
   * delivers.
   */
  hedge: boolean;
  /** Whether the silent target is first asked whether the generation still runs. */
  probeFirst: boolean;
}

/** Urgency and recovery of requests. */
export interface Priority {
  name: string;
  /** 0 is the most urgent. */
  rank: number;
  /** Milliseconds for the whole answer; 0 for no deadline. */
  deadlineMs: number;
  recovery: RecoveryPolicy;
  /** A request is refused if its expected wait for a target exceeds this, in milliseconds. */
  maxQueueMs: number;
}

/** A model version and the number of targets that should have it loaded. */
export interface PlacementRule {
  name: string;
  model: string;
  adapter: string;
  version: string;
  targets: number;
  failureDomains: string[];
}

export const RESOURCE_KINDS = [
  'service',
  'organisation',
  'operator',
  'priority',
  'placementRule',
] as const;

export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/** Type of the spec of each kind. */
export interface ResourceShapes {
  service: Service;
  organisation: Organisation;
  operator: Operator;
  priority: Priority;
  placementRule: PlacementRule;
}

/** A resource with its kind, as a discriminated union. */
export type Resource = { [K in ResourceKind]: { kind: K; spec: ResourceShapes[K] } }[ResourceKind];

/** Identity of a resource. */
export interface ResourceName {
  kind: ResourceKind;
  name: string;
}

/** One step of a change. */
export type Operation = { put: Resource } | { delete: ResourceName };

/** A change that an operator requests. */
export interface ChangeRequest {
  /** Chosen by the operator; a retry has the same id. */
  changeId: string;
  /** Revision that the change is based on. */
  baseRevision: Revision;
  operations: Operation[];
  reason: string;
}

/** An accepted change, which is its own audit entry. */
export interface Change extends ChangeRequest {
  revision: Revision;
  operator: string;
  /** Unix milliseconds. */
  atMs: number;
}

/** A resource and the revision that last changed it. */
export interface VersionedResource {
  revision: Revision;
  resource: Resource;
}

export function getResourceName(resource: Resource): ResourceName {
  return { kind: resource.kind, name: resource.spec.name };
}
