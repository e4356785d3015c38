/** The configuration in force, as an index of resources. */
import {
  nameOfResource,
  type Change,
  type ResourceKind,
  type ResourceName,
  type ResourceShapes,
  type Revision,
  type VersionedResource,
} from '@limelead/types';

/** Removals remembered, so that a race between a removal and a put is seen; the oldest go first. */
const MAX_REMOVALS = 1_000;

/** A resource that was removed. */
export interface Removal {
  revision: Revision;
  name: ResourceName;
}

/** All resources by kind and name, at one revision. Never changed in place. */
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

/** Builds a configuration from a snapshot. */
export function buildConfiguration(
  revision: Revision,
  resources: readonly VersionedResource[],
  removals: readonly Removal[],
): Configuration {
  const entries = resources.map(
    (versioned) => [resourceKey(nameOfResource(versioned.resource)), versioned] as const,
  );
  const removed = removals.map((removal) => [resourceKey(removal.name), removal] as const);
  return { revision, resources: new Map(entries), removals: new Map(removed) };
}

/** Applies accepted changes in order; those at or below the revision are skipped, a gap stops it. */
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

/** Finds one resource's spec. */
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

/** The revision that last put or removed a resource; 0 where it never was there. */
export function findLastRevision(configuration: Configuration, name: ResourceName): Revision {
  const found = findResource(configuration, name) ?? configuration.removals.get(resourceKey(name));
  return found?.revision ?? 0;
}

/** All specs of a kind. */
export function listSpecs<Kind extends ResourceKind>(
  configuration: Configuration,
  kind: Kind,
): ResourceShapes[Kind][] {
  return [...configuration.resources.values()]
    .filter(({ resource }) => resource.kind === kind)
    .map(({ resource }) => resource.spec as ResourceShapes[Kind]);
}

/** Names the resource that an operation touches. */
export function nameOfOperation(operation: Change['operations'][number]): ResourceName {
  return 'put' in operation ? nameOfResource(operation.put) : operation.delete;
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
