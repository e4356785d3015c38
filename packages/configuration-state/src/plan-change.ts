/** Decides whether a change is accepted. */
import { ConflictError, LimeleadError } from '@limelead/errors';
import type {
  Change,
  ChangeRequest,
  Millis,
  ResourceName,
  VersionedResource,
} from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import {
  applyChanges,
  findLastRevision,
  findSpec,
  findResource,
  listSpecs,
  nameOfOperation,
  type Configuration,
} from './configuration.js';

/** The error of a refused change. */
export type ChangeRefusal = LimeleadError | ConflictError<VersionedResource>;

/** The operator who requests a change, and the time of acceptance. */
export interface ChangeAuthor {
  operator: string;
  atMs: Millis;
}

/** Returns the accepted change with the next revision, or the reason of its refusal. */
export default function planChange(
  configuration: Configuration,
  request: ChangeRequest,
  author: ChangeAuthor,
): E.Either<ChangeRefusal, Change> {
  if (request.operations.length === 0) {
    return E.left(new LimeleadError('invalid-request', 'a change needs at least one operation'));
  }
  const conflicts = findConflicts(configuration, request);
  if (conflicts.length > 0) {
    return E.left(createConflictError(configuration, conflicts));
  }
  const change: Change = { ...request, ...author, revision: configuration.revision + 1 };
  const fault = findDanglingReference(applyChanges(configuration, [change]));
  return fault === undefined
    ? E.right(change)
    : E.left(new LimeleadError('invalid-request', fault));
}

/** Names of requested resources that changed after the request's base revision. */
function findConflicts(configuration: Configuration, request: ChangeRequest): ResourceName[] {
  return request.operations
    .map(nameOfOperation)
    .filter((name) => findLastRevision(configuration, name) > request.baseRevision);
}

function createConflictError(
  configuration: Configuration,
  conflicts: ResourceName[],
): ConflictError<VersionedResource> {
  const names = conflicts.map(({ kind, name }) => `${kind} ${name}`);
  const message = `changed or removed since the base revision: ${names.join(', ')}`;
  const current = conflicts
    .map((name) => findResource(configuration, name))
    .filter((versioned) => versioned !== undefined);
  return new ConflictError(message, configuration.revision, current);
}

function findDanglingReference(configuration: Configuration): string | undefined {
  const dangling = listSpecs(configuration, 'service').find(
    (service) => findSpec(configuration, 'priority', service.defaultPriority) === undefined,
  );
  return dangling === undefined
    ? undefined
    : `service ${dangling.name} refers to the priority ${dangling.defaultPriority}, which does not exist`;
}
