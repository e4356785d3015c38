/** `limelead apply`: changes the configuration. */
import { fromJson, type JsonValue } from '@bufbuild/protobuf';
import { OperationSchema, type Operation as OperationMessage } from '@limelead/schema';
import type { Operation } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { withClient, type ConnectionOptions } from '../../connection.js';
import { EXIT_CODES } from '../../exit-codes.js';
import { printLine } from '../../output.js';
import decodeChangeFile from './change-file.js';

/** Options of the command. */
export interface ApplyOptions extends ConnectionOptions {
  /** Revision on which the change is based; defaults to the current one. */
  base?: number;
  /** Id of the change; a change with the same id is applied only once. */
  changeId?: string;
}

/** Runs the command; returns the exit code. */
export default async function apply(file: string, options: ApplyOptions): Promise<number> {
  const change = decodeChangeFile(file, readFileSync(file, 'utf8'));
  if (E.isLeft(change)) {
    throw change.left;
  }
  return withClient(options, async ({ administration, headers }) => {
    const { revision } = await administration.apply(
      {
        changeId: options.changeId ?? randomUUID(),
        baseRevision: await resolveBaseRevision(options.base, administration, headers),
        operations: change.right.operations.map(toOperationMessage),
        reason: change.right.reason,
      },
      { headers },
    );
    const text =
      options.json === true
        ? JSON.stringify({ revision: Number(revision) })
        : `revision ${revision}`;
    printLine(text);
    return EXIT_CODES.done;
  });
}

type Administration = Parameters<Parameters<typeof withClient>[1]>[0]['administration'];

async function resolveBaseRevision(
  base: number | undefined,
  administration: Administration,
  headers: Record<string, string>,
): Promise<bigint> {
  if (base !== undefined) {
    return BigInt(base);
  }
  // Only the revision is needed, so request a single kind of resource.
  const { revision } = await administration.getConfiguration({ kind: 'operator' }, { headers });
  return revision;
}

function toOperationMessage(operation: Operation): OperationMessage {
  const json =
    'put' in operation
      ? { put: { [operation.put.kind]: operation.put.spec } }
      : { delete: operation.delete };
  return fromJson(OperationSchema, json as unknown as JsonValue);
}
