/** Codecs of resources and changes. */
import {
  strictObject,
  integerBetween,
  listUpTo,
  oneOf,
  positiveUpTo,
  stringMatching,
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

const name = stringMatching(/^[a-z0-9][a-z0-9-]{0,63}$/, 'a name of 1 to 64 of a-z, 0-9 and -');
const label = stringMatching(
  /^[\w.:/-]{0,128}$/,
  'a text of up to 128 of letters, digits and ._:/-',
);
const nonEmptyLabel = stringMatching(
  /^[\w.:/-]{1,128}$/,
  'a text of 1 to 128 of letters, digits and ._:/-',
);
const keyHash = stringMatching(/^[0-9a-f]{64}$/, 'a SHA-256 in 64 hex digits');
const milliseconds = integerBetween(0, MAX_DURATION_MS);

const modelService = strictObject('model service', {
  model: nonEmptyLabel,
  adapter: label,
  version: nonEmptyLabel,
});
const plainService = strictObject('plain service', { timeoutMs: integerBetween(1, 600_000) });

/** A service with exactly one of `model` and `plain`. */
export const serviceCodec: t.Type<Service, unknown> = t.refinement(
  strictObject(
    'service',
    { name, defaultPriority: name },
    { model: modelService, plain: plainService },
  ),
  (service) => (service.model === undefined) !== (service.plain === undefined),
  'a service with exactly one of "model" and "plain"',
);

export const organisationCodec: t.Type<Organisation, unknown> = strictObject('organisation', {
  name,
  keyHashes: listUpTo(keyHash, MAX_KEYS),
  weight: positiveUpTo(1_000_000),
  requestsPerSecond: positiveUpTo(1_000_000),
  maxConcurrent: integerBetween(1, 1_000_000),
});

export const operatorCodec: t.Type<Operator, unknown> = strictObject('operator', {
  name,
  keyHashes: listUpTo(keyHash, MAX_KEYS),
});

export const recoveryPolicyCodec: t.Type<RecoveryPolicy, unknown> = strictObject(
  'recovery policy',
  {
    suspicionFactor: positiveUpTo(1_000),
    minSilenceMs: integerBetween(1, MAX_DURATION_MS),
    maxSilenceMs: integerBetween(1, MAX_DURATION_MS),
    hedge: t.boolean,
    probeFirst: t.boolean,
  },
);

export const priorityCodec: t.Type<Priority, unknown> = strictObject('priority', {
  name,
  rank: integerBetween(0, 100),
  deadlineMs: milliseconds,
  recovery: recoveryPolicyCodec,
  maxQueueMs: integerBetween(1, MAX_DURATION_MS),
});

export const placementRuleCodec: t.Type<PlacementRule, unknown> = strictObject('placement rule', {
  name,
  model: nonEmptyLabel,
  adapter: label,
  version: nonEmptyLabel,
  targets: integerBetween(0, 100_000),
  failureDomains: listUpTo(name, MAX_DOMAINS),
});

function resourceOf<Kind extends ResourceKind, Spec>(kind: Kind, spec: t.Type<Spec, unknown>) {
  return strictObject(kind, { kind: t.literal(kind), spec });
}

/** A resource with its kind. */
export const resourceCodec = t.union([
  resourceOf('service', serviceCodec),
  resourceOf('organisation', organisationCodec),
  resourceOf('operator', operatorCodec),
  resourceOf('priority', priorityCodec),
  resourceOf('placementRule', placementRuleCodec),
]) as t.Type<Resource, unknown>;

const resourceName = strictObject('resource name', { kind: oneOf(...RESOURCE_KINDS), name });

/** One operation of a change: puts or deletes a resource. */
export const operationCodec = t.union([
  strictObject('put', { put: resourceCodec }),
  strictObject('delete', { delete: resourceName }),
]) as t.Type<Operation, unknown>;

const changeRequestProps = {
  changeId: stringMatching(/^[\w-]{1,64}$/, 'an id of 1 to 64 of letters, digits, _ and -'),
  baseRevision: integerBetween(0, Number.MAX_SAFE_INTEGER),
  operations: listUpTo(operationCodec, MAX_OPERATIONS),
  reason: stringMatching(
    new RegExp(`^.{0,${MAX_REASON_CHARACTERS}}$`, 's'),
    'up to 500 characters',
  ),
};

/** A change that an operator requests. */
export const changeRequestCodec = strictObject('change', changeRequestProps) as t.Type<
  ChangeRequest,
  unknown
>;

/** An accepted change. */
export const changeCodec = strictObject('accepted change', {
  ...changeRequestProps,
  revision: integerBetween(1, Number.MAX_SAFE_INTEGER),
  operator: t.string,
  atMs: t.number,
}) as t.Type<Change, unknown>;

/** The name of a removed resource and the revision that removed it. */
export const removalCodec = strictObject('removal', {
  revision: integerBetween(0, Number.MAX_SAFE_INTEGER),
  name: resourceName,
}) as t.Type<Removal, unknown>;

/** A resource and the revision that last changed it. */
export const versionedResourceCodec = strictObject('versioned resource', {
  revision: integerBetween(0, Number.MAX_SAFE_INTEGER),
  resource: resourceCodec,
}) as t.Type<VersionedResource, unknown>;
