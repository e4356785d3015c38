/** Codecs of resources and changes. */
import {
  closed,
  integerBetween,
  listOfAtMost,
  oneOf,
  positiveUpTo,
  textMatching,
} from '@limelead/decode-with-lines';
import {
  RESOURCE_KINDS,
  type Change,
  type ChangeRequest,
  type Operation,
  type Operator,
  type Organisation,
  type PlacementRule,
  type Priority,
  type RecoveryPolicy,
  type Service,
  type Resource,
  type ResourceKind,
  type VersionedResource,
} from '@limelead/types';
import * as t from 'io-ts';
import type { Removal } from './configuration.js';

const MAX_KEYS = 16;
const MAX_DOMAINS = 64;
const MAX_OPERATIONS = 1_000;
const MAX_REASON_CHARACTERS = 500;
const MAX_DURATION_MS = 86_400_000;

const name = textMatching(/^[a-z0-9][a-z0-9-]{0,63}$/, 'a name of 1 to 64 of a-z, 0-9 and -');
const label = textMatching(/^[\w.:/-]{0,128}$/, 'a text of up to 128 of letters, digits and ._:/-');
const nonEmptyLabel = textMatching(
  /^[\w.:/-]{1,128}$/,
  'a text of 1 to 128 of letters, digits and ._:/-',
);
const keyHash = textMatching(/^[0-9a-f]{64}$/, 'a SHA-256 in 64 hex digits');
const milliseconds = integerBetween(0, MAX_DURATION_MS);

const modelService = closed('model service', {
  model: nonEmptyLabel,
  adapter: label,
  version: nonEmptyLabel,
});
const plainService = closed('plain service', { timeoutMs: integerBetween(1, 600_000) });

/** A service with exactly one of `model` and `plain`. */
export const serviceCodec: t.Type<Service, unknown> = t.refinement(
  closed('service', { name, defaultPriority: name }, { model: modelService, plain: plainService }),
  (service) => (service.model === undefined) !== (service.plain === undefined),
  'a service with exactly one of "model" and "plain"',
);

export const organisationCodec: t.Type<Organisation, unknown> = closed('organisation', {
  name,
  keyHashes: listOfAtMost(keyHash, MAX_KEYS),
  weight: positiveUpTo(1_000_000),
  requestsPerSecond: positiveUpTo(1_000_000),
  maxConcurrent: integerBetween(1, 1_000_000),
});

export const operatorCodec: t.Type<Operator, unknown> = closed('operator', {
  name,
  keyHashes: listOfAtMost(keyHash, MAX_KEYS),
});

export const recoveryPolicyCodec: t.Type<RecoveryPolicy, unknown> = closed('recovery policy', {
  suspicionFactor: positiveUpTo(1_000),
  minSilenceMs: integerBetween(1, MAX_DURATION_MS),
  maxSilenceMs: integerBetween(1, MAX_DURATION_MS),
  hedge: t.boolean,
  probeFirst: t.boolean,
});

export const priorityCodec: t.Type<Priority, unknown> = closed('priority', {
  name,
  rank: integerBetween(0, 100),
  deadlineMs: milliseconds,
  recovery: recoveryPolicyCodec,
  maxQueueMs: integerBetween(1, MAX_DURATION_MS),
});

export const placementRuleCodec: t.Type<PlacementRule, unknown> = closed('placement rule', {
  name,
  model: nonEmptyLabel,
  adapter: label,
  version: nonEmptyLabel,
  targets: integerBetween(0, 100_000),
  failureDomains: listOfAtMost(name, MAX_DOMAINS),
});

function resourceOf<Kind extends ResourceKind, Spec>(kind: Kind, spec: t.Type<Spec, unknown>) {
  return closed(kind, { kind: t.literal(kind), spec });
}

/** A resource with its kind. */
export const resourceCodec = t.union([
  resourceOf('service', serviceCodec),
  resourceOf('organisation', organisationCodec),
  resourceOf('operator', operatorCodec),
  resourceOf('priority', priorityCodec),
  resourceOf('placementRule', placementRuleCodec),
]) as t.Type<Resource, unknown>;

const resourceName = closed('resource name', { kind: oneOf(...RESOURCE_KINDS), name });

/** One operation of a change: puts or deletes a resource. */
export const operationCodec = t.union([
  closed('put', { put: resourceCodec }),
  closed('delete', { delete: resourceName }),
]) as t.Type<Operation, unknown>;

const changeRequestProps = {
  changeId: textMatching(/^[\w-]{1,64}$/, 'an id of 1 to 64 of letters, digits, _ and -'),
  baseRevision: integerBetween(0, Number.MAX_SAFE_INTEGER),
  operations: listOfAtMost(operationCodec, MAX_OPERATIONS),
  reason: textMatching(new RegExp(`^.{0,${MAX_REASON_CHARACTERS}}$`, 's'), 'up to 500 characters'),
};

/** A change that an operator requests. */
export const changeRequestCodec = closed('change', changeRequestProps) as t.Type<
  ChangeRequest,
  unknown
>;

/** An accepted change. */
export const changeCodec = closed('accepted change', {
  ...changeRequestProps,
  revision: integerBetween(1, Number.MAX_SAFE_INTEGER),
  operator: t.string,
  atMs: t.number,
}) as t.Type<Change, unknown>;

/** The name of a removed resource and the revision that removed it. */
export const removalCodec = closed('removal', {
  revision: integerBetween(0, Number.MAX_SAFE_INTEGER),
  name: resourceName,
}) as t.Type<Removal, unknown>;

/** A resource and the revision that last changed it. */
export const versionedResourceCodec = closed('versioned resource', {
  revision: integerBetween(0, Number.MAX_SAFE_INTEGER),
  resource: resourceCodec,
}) as t.Type<VersionedResource, unknown>;
