/** The client that the options of a command ask for. */
import { createClient, type Client } from '@limelead/client';
import UsageError from './usage-error.js';

/** Options that every command with a connection takes. */
export interface ConnectionOptions {
  /** Base URLs, separated by commas. */
  url?: string;
  key?: string;
  json?: boolean;
}

/** Creates the client, from options or else from the environment. */
export default function createClientFromOptions(options: ConnectionOptions): Client {
  const urls = options.url ?? process.env['LIMELEAD_URL'];
  const key = options.key ?? process.env['LIMELEAD_KEY'];
  if (urls === undefined || key === undefined) {
    throw new UsageError('--url and --key are needed, or LIMELEAD_URL and LIMELEAD_KEY');
  }
  return createClient({ urls: String(urls).split(','), key: String(key) });
}

/** Runs with a client and closes it. */
export async function withClient<Result>(
  options: ConnectionOptions,
  run: (client: Client) => Promise<Result>,
): Promise<Result> {
  const client = createClientFromOptions(options);
  try {
    return await run(client);
  } finally {
    await client.close();
  }
}
