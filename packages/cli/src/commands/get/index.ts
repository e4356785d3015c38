/** `limelead get`: shows the current configuration. */
import { GetConfigurationResponseSchema } from '@limelead/schema';
import { withClient, type ConnectionOptions } from '../../connection.js';
import { EXIT_CODES } from '../../exit-codes.js';
import { printMessage, printTable } from '../../output.js';

/** Runs the command; returns the exit code. */
export default function get(kind: string | undefined, options: ConnectionOptions): Promise<number> {
  return withClient(options, async ({ administration, headers }) => {
    const response = await administration.getConfiguration({ kind: kind ?? '' }, { headers });
    if (options.json === true) {
      printMessage(GetConfigurationResponseSchema, response);
      return EXIT_CODES.done;
    }
    const rows = response.resources.map(({ revision, resource }) => [
      resource?.kind.case ?? '',
      resource?.kind.value?.name ?? '',
      String(revision),
    ]);
    printTable(['KIND', 'NAME', 'REVISION'], rows);
    return EXIT_CODES.done;
  });
}
