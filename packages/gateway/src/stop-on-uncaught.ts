/** Stops a VM in the planned way behind an exception that nothing caught. */
import type { Millis } from '@limelead/types';
import type Gateway from './gateway.js';

const FAULT_EXIT_CODE = 1;

/**
 * Reports such exceptions, and ends the process with exit code 1 once the gateway has stopped, at
 * the latest after the grace.
 */
export default function stopOnUncaught(
  gateway: Pick<Gateway, 'reportUncaught' | 'stop'>,
  graceMs: Millis,
): void {
  process.on('uncaughtException', (error) => {
    gateway.reportUncaught(error);
    process.exitCode = FAULT_EXIT_CODE;
    setTimeout(() => process.exit(), graceMs).unref();
    void gateway.stop().finally(() => process.exit());
  });
}
