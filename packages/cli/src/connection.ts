/** Creates clients from the connection options of a command. */
import { createClient, type Client } from '@limelead/client';
import UsageError from './usage-error.js';

/** Options of every command that connects to VMs. */
export interface ConnectionOptions {
  /** Base URLs, separated by commas. */
  url?: string;
  key?: string;
  json?: boolean;
}

/** Creates a client from the options, or else from the environment; throws UsageError if both lack one. */
export default function createClientFromOptions(options: ConnectionOptions): Client {
  const urls = options.url ?? process.env['LIMELEAD_URL'];
  const key = options.key ?? process.env['LIMELEAD_KEY'];
  if (urls === undefined || key === undefined) {
    throw new UsageError('--url and --key, or LIMELEAD_URL and LIMELEAD_KEY, are required');
  }
  return createClient({ urls: String(urls).split(','), key: String(key) });
}

/** Runs a function with a client and closes the client afterwards. */
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
