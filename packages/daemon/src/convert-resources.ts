/** Converts resources and changes to and from the messages of limelead.v1. */
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

/** Converts a resource to its message. */
export function toResourceMessage(resource: Resource): ResourceMessage {
  // Resource and message have the same JSON form, with the kind as the name of the field.
  return fromJson(ResourceSchema, { [resource.kind]: resource.spec } as unknown as JsonValue);
}

/** Converts a resource with its revision to its message. */
export function toVersionedMessage(versioned: VersionedResource): VersionedResourceMessage {
  return create(VersionedResourceSchema, {
    revision: BigInt(versioned.revision),
    resource: toResourceMessage(versioned.resource),
  });
}

/** Converts an accepted change to its message. */
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

/** Decodes an operation that an operator sent; throws `invalid-request` if it is invalid. */
export function fromOperationMessage(message: OperationMessage): Operation {
  const decoded = operationCodec.decode(toPlainOperation(message));
  if (E.isLeft(decoded)) {
    const problem = PathReporter.report(decoded)[0] ?? 'invalid operation';
    throw new LimeleadError('invalid-request', problem);
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
