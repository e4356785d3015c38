/** `limelead call`: calls a plain service. */
import { CallResponseSchema } from '@limelead/schema';
import { randomUUID } from 'node:crypto';
import { withClient, type ConnectionOptions } from '../../connection.js';
import { EXIT_CODES } from '../../exit-codes.js';
import { printLine, printMessage } from '../../output.js';

const FIRST_ERROR_STATUS = 400;

/** Options of the command. */
export interface CallOptions extends ConnectionOptions {
  body?: string;
  repeatable?: boolean;
  requestId?: string;
}

/** Runs the command; returns the exit code. */
export default function call(
  service: string,
  operation: string,
  options: CallOptions,
): Promise<number> {
  return withClient(options, async (client) => {
    const response = await client.call({
      requestId: options.requestId ?? randomUUID(),
      service,
      operation,
      body: Buffer.from(options.body ?? ''),
      repeatable: options.repeatable ?? false,
    });
    if (options.json === true) {
      printMessage(CallResponseSchema, response);
    } else {
      printLine(Buffer.from(response.body).toString('utf8'));
    }
    return response.status < FIRST_ERROR_STATUS ? EXIT_CODES.done : EXIT_CODES.failed;
  });
}
