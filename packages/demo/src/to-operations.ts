/** Converts resources to operations of a change. */
import { fromJson, type JsonValue } from '@bufbuild/protobuf';
import { OperationSchema, type Operation } from '@limelead/schema';
import type { Resource } from '@limelead/types';

/** Creates one put operation per resource. */
export default function toOperations(resources: Resource[]): Operation[] {
  return resources.map(({ kind, spec }) =>
    fromJson(OperationSchema, { put: { [kind]: spec } } as unknown as JsonValue),
  );
}
