/** `limelead generate`: streams an answer to standard output. */
import { randomUUID } from 'node:crypto';
import { withClient, type ConnectionOptions } from '../../connection.js';
import { EXIT_CODES } from '../../exit-codes.js';
import { printLine } from '../../output.js';

const DEFAULT_MAX_TOKENS = 256;

/** Options of the command. */
export interface GenerateOptions extends ConnectionOptions {
  maxTokens?: number;
  priority?: string;
  deadlineMs?: number;
  pace?: number;
  requestId?: string;
}

/** Runs the command; returns the exit code. */
export default function generate(
  service: string,
  prompt: string,
  options: GenerateOptions,
): Promise<number> {
  return withClient(options, async (client) => {
    const answer = client.generate({
      requestId: options.requestId ?? randomUUID(),
      service,
      prompt,
      maxTokens: options.maxTokens ?? DEFAULT_MAX_TOKENS,
      priority: options.priority ?? '',
      deadlineMs: options.deadlineMs ?? 0,
      paceTokensPerSecond: options.pace ?? 0,
    });
    for await (const event of answer) {
      if (options.json === true) {
        printLine(JSON.stringify(event, replaceBigInt));
      } else if (event.kind === 'tokens') {
        process.stdout.write(event.tokens.join(''));
      } else if (event.kind === 'moved') {
        process.stderr.write(`\n[continues through another VM: ${event.reason}]\n`);
      }
    }
    if (options.json !== true) {
      printLine('');
    }
    return EXIT_CODES.done;
  });
}

function replaceBigInt(key: string, value: unknown): unknown {
  if (key === '$typeName') {
    return undefined;
  }
  return typeof value === 'bigint' ? value.toString() : value;
}
