/** `limelead status`: shows the state of VMs and targets as one VM sees it. */
import { GetStatusResponseSchema } from '@limelead/schema';
import { withClient, type ConnectionOptions } from '../../connection.js';
import { EXIT_CODES } from '../../exit-codes.js';
import { printLine, printMessage, printTable } from '../../output.js';

/** Runs the command; returns the exit code. */
export default function status(options: ConnectionOptions): Promise<number> {
  return withClient(options, async ({ administration, headers }) => {
    const response = await administration.getStatus({}, { headers });
    if (options.json === true) {
      printMessage(GetStatusResponseSchema, response);
      return EXIT_CODES.done;
    }
    const { vm, failureDomain, revision, openGenerations, draining } = response;
    printLine(
      `${vm} in ${failureDomain}: revision ${revision}, ${openGenerations} open generations`,
    );
    if (draining) {
      printLine('draining for a planned stop');
    }
    printTable(
      ['VM', 'FAILURE DOMAIN', 'STATE', 'REVISION'],
      response.vms.map((peer) => [peer.id, peer.failureDomain, peer.state, String(peer.revision)]),
    );
    printTable(
      ['TARGET', 'FAILURE DOMAIN', 'STATE', 'IN FLIGHT', 'REPORTED'],
      response.targets.map((target) => [
        target.id,
        target.failureDomain,
        target.state,
        String(target.inFlight),
        String(target.reportedRunning),
      ]),
    );
    return EXIT_CODES.done;
  });
}
