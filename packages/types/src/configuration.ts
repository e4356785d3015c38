/** Operators' configuration as plain data. Mirrors limelead.v1 in its JSON form. */

/** A number that grows by one with each accepted change; 0 is the empty configuration. */
export type Revision = number;

/** Answers of new requests begin with this model, adapter and version. */
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

/** Somebody who may change the configuration. */
export interface Operator {
  name: string;
  keyHashes: string[];
}

/** How a broken or silent stream is continued: resume latency against extra resource use. */
export interface RecoveryPolicy {
  /** Deviations above the mean token gap at which a target is suspected. */
  suspicionFactor: number;
  /** Lower bound of the suspicion time in milliseconds. */
  minSilenceMs: number;
  /** Upper bound of the suspicion time in milliseconds. */
  maxSilenceMs: number;
  /** Start a second attempt on suspicion and keep the first until one delivers. */
  hedge: boolean;
  /** Ask the silent target first whether the generation still runs. */
  probeFirst: boolean;
}

/** How urgent a request is and how it is recovered. */
export interface Priority {
  name: string;
  /** 0 is the most urgent. */
  rank: number;
  /** Milliseconds for the whole answer; 0 is no deadline. */
  deadlineMs: number;
  recovery: RecoveryPolicy;
  /** Expected milliseconds of waiting for a target beyond which a request is refused. */
  maxQueueMs: number;
}

/** Which version should be loaded on how many targets. */
export interface PlacementRule {
  name: string;
  model: string;
  adapter: string;
  version: string;
  targets: number;
  failureDomains: string[];
}

/** Names of the kinds of resources. */
export const RESOURCE_KINDS = [
  'service',
  'organisation',
  'operator',
  'priority',
  'placementRule',
] as const;

/** One of the kinds of resources. */
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/** The shape that belongs to each kind. */
export interface ResourceShapes {
  service: Service;
  organisation: Organisation;
  operator: Operator;
  priority: Priority;
  placementRule: PlacementRule;
}

/** A resource with its kind, as a discriminated union. */
export type Resource = { [K in ResourceKind]: { kind: K; spec: ResourceShapes[K] } }[ResourceKind];

/** The identity of a resource. */
export interface ResourceName {
  kind: ResourceKind;
  name: string;
}

/** One step of a change. */
export type Operation = { put: Resource } | { delete: ResourceName };

/** What an operator asks for. */
export interface ChangeRequest {
  /** Chosen by the operator; a retry carries the same id. */
  changeId: string;
  /** Revision the operator looked at. */
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

/** A resource and the revision that last touched it. */
export interface VersionedResource {
  revision: Revision;
  resource: Resource;
}

/** The name of a resource's own spec. */
export function nameOfResource(resource: Resource): ResourceName {
  return { kind: resource.kind, name: resource.spec.name };
}
