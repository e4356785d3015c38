/** The configuration as an index of resources. */
import {
  getResourceName,
  type Change,
  type ResourceKind,
  type ResourceName,
  type ResourceShapes,
  type Revision,
  type VersionedResource,
} from '@limelead/types';

/** Number of newest removals that are kept to detect conflicts between a removal and a put. */
const MAX_REMOVALS = 1_000;

/** A resource that was removed. */
export interface Removal {
  revision: Revision;
  name: ResourceName;
}

/** All resources by kind and name, at one revision. Immutable. */
export interface Configuration {
  revision: Revision;
  resources: ReadonlyMap<string, VersionedResource>;
  /** The newest removals. */
  removals: ReadonlyMap<string, Removal>;
}

/** The configuration before the first change. */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  resources: new Map(),
  removals: new Map(),
};

/** Builds a configuration from the contents of a snapshot. */
export function buildConfiguration(
  revision: Revision,
  resources: readonly VersionedResource[],
  removals: readonly Removal[],
): Configuration {
  const entries = resources.map(
    (versioned) => [resourceKey(getResourceName(versioned.resource)), versioned] as const,
  );
  const removed = removals.map((removal) => [resourceKey(removal.name), removal] as const);
  return { revision, resources: new Map(entries), removals: new Map(removed) };
}

/** Applies accepted changes in order. Skips those at or below the revision and stops at a gap. */
export function applyChanges(
  configuration: Configuration,
  changes: readonly Change[],
): Configuration {
  const next = changes.filter((change) => change.revision > configuration.revision);
  if (next.length === 0) {
    return configuration;
  }
  const resources = new Map(configuration.resources);
  const removals = new Map(configuration.removals);
  let { revision } = configuration;
  for (const change of next) {
    if (change.revision !== revision + 1) {
      break;
    }
    applyOperations(resources, removals, change);
    revision = change.revision;
  }
  return { revision, resources, removals: limitRemovals(removals) };
}

/** Finds the spec of a resource. */
export function findSpec<Kind extends ResourceKind>(
  configuration: Configuration,
  kind: Kind,
  name: string,
): ResourceShapes[Kind] | undefined {
  const found = configuration.resources.get(resourceKey({ kind, name }));
  return found?.resource.spec as ResourceShapes[Kind] | undefined;
}

/** Finds a resource with its revision. */
export function findResource(
  configuration: Configuration,
  name: ResourceName,
): VersionedResource | undefined {
  return configuration.resources.get(resourceKey(name));
}

/** The revision that last put or removed a resource; 0 if none is known. */
export function findLastRevision(configuration: Configuration, name: ResourceName): Revision {
  const found = findResource(configuration, name) ?? configuration.removals.get(resourceKey(name));
  return found?.revision ?? 0;
}

/** The specs of all resources of a kind. */
export function listSpecs<Kind extends ResourceKind>(
  configuration: Configuration,
  kind: Kind,
): ResourceShapes[Kind][] {
  return [...configuration.resources.values()]
    .filter(({ resource }) => resource.kind === kind)
    .map(({ resource }) => resource.spec as ResourceShapes[Kind]);
}

/** Returns the name of the resource that an operation changes. */
export function nameOfOperation(operation: Change['operations'][number]): ResourceName {
  return 'put' in operation ? getResourceName(operation.put) : operation.delete;
}

function applyOperations(
  resources: Map<string, VersionedResource>,
  removals: Map<string, Removal>,
  change: Change,
): void {
  const { revision } = change;
  for (const operation of change.operations) {
    const name = nameOfOperation(operation);
    const key = resourceKey(name);
    removals.delete(key);
    if ('put' in operation) {
      resources.set(key, { revision, resource: operation.put });
    } else {
      resources.delete(key);
      removals.set(key, { revision, name });
    }
  }
}

function limitRemovals(removals: Map<string, Removal>): Map<string, Removal> {
  return new Map([...removals].slice(-MAX_REMOVALS));
}

function resourceKey({ kind, name }: ResourceName): string {
  return `${kind}/${name}`;
}
