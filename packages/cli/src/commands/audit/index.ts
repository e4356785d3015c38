/** `limelead audit`: lists the changes of the configuration, newest first. */
import { ListChangesResponseSchema, type Operation } from '@limelead/schema';
import { withClient, type ConnectionOptions } from '../../connection.js';
import { EXIT_CODES } from '../../exit-codes.js';
import { printMessage, printTable } from '../../output.js';

/** Options of the command. */
export interface AuditOptions extends ConnectionOptions {
  limit?: number;
  before?: number;
}

/** Runs the command; returns the exit code. */
export default function audit(options: AuditOptions): Promise<number> {
  return withClient(options, async ({ administration, headers }) => {
    const request = { limit: options.limit ?? 0, beforeRevision: BigInt(options.before ?? 0) };
    const response = await administration.listChanges(request, { headers });
    if (options.json === true) {
      printMessage(ListChangesResponseSchema, response);
      return EXIT_CODES.done;
    }
    const rows = response.changes.map((change) => [
      String(change.revision),
      new Date(Number(change.atMs)).toISOString(),
      change.operator,
      change.operations.map(describeOperation).join(', '),
      change.reason,
    ]);
    printTable(['REVISION', 'AT', 'OPERATOR', 'WHAT', 'WHY'], rows);
    return EXIT_CODES.done;
  });
}

function describeOperation({ operation }: Operation): string {
  switch (operation.case) {
    case 'put':
      return `put ${operation.value.kind.case} ${operation.value.kind.value?.name}`;
    case 'delete':
      return `delete ${operation.value.kind} ${operation.value.name}`;
    default:
      return '';
  }
}
