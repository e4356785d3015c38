/** Converts resources and changes between their plain form and the messages of limelead.v1. */
import { create, fromJson, toJson, type JsonValue } from '@bufbuild/protobuf';
import { operationCodec } from '@limelead/configuration-state';
import { LimeleadError } from '@limelead/errors';
import {
  ChangeSchema,
  OperationSchema,
  ResourceSchema,
  VersionedResourceSchema,
  type Change as ChangeMessage,
  type Operation as OperationMessage,
  type Resource as ResourceMessage,
  type VersionedResource as VersionedResourceMessage,
} from '@limelead/schema';
import type { Change, Operation, Resource, VersionedResource } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { PathReporter } from 'io-ts/lib/PathReporter.js';

/** The message of a resource. */
export function toResourceMessage(resource: Resource): ResourceMessage {
  // Both sides have the same JSON form: the kind is the name of the field.
  return fromJson(ResourceSchema, { [resource.kind]: resource.spec } as unknown as JsonValue);
}

/** The message of a resource with its revision. */
export function toVersionedMessage(versioned: VersionedResource): VersionedResourceMessage {
  return create(VersionedResourceSchema, {
    revision: BigInt(versioned.revision),
    resource: toResourceMessage(versioned.resource),
  });
}

/** The message of an accepted change. */
export function toChangeMessage(change: Change): ChangeMessage {
  return create(ChangeSchema, {
    revision: BigInt(change.revision),
    changeId: change.changeId,
    operator: change.operator,
    atMs: BigInt(change.atMs),
    baseRevision: BigInt(change.baseRevision),
    reason: change.reason,
    operations: change.operations.map(toOperationMessage),
  });
}

/** Checks an operation that an operator sent. Throws where it does not hold. */
export function fromOperationMessage(message: OperationMessage): Operation {
  const decoded = operationCodec.decode(toPlainOperation(message));
  if (E.isLeft(decoded)) {
    const fault = PathReporter.report(decoded)[0] ?? 'the operation does not hold';
    throw new LimeleadError('invalid-request', fault);
  }
  return decoded.right;
}

function toOperationMessage(operation: Operation): OperationMessage {
  return 'put' in operation
    ? create(OperationSchema, {
        operation: { case: 'put', value: toResourceMessage(operation.put) },
      })
    : create(OperationSchema, { operation: { case: 'delete', value: operation.delete } });
}

function toPlainOperation({ operation }: OperationMessage): unknown {
  switch (operation.case) {
    case 'put':
      return { put: toPlainResource(operation.value) };
    case 'delete':
      return { delete: { kind: operation.value.kind, name: operation.value.name } };
    default:
      return {};
  }
}

function toPlainResource(message: ResourceMessage): unknown {
  const json = toJson(ResourceSchema, message, { alwaysEmitImplicit: true });
  const kind = message.kind.case ?? '';
  return { kind, spec: (json as Record<string, unknown>)[kind] };
}
